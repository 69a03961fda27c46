#pragma once

namespace savoryrill::matrix {

/// Runs `savoryrill-fault-matrix [--full] [--seed N] [--row NAME] [--list] [--self-test]
/// [--programs FOLDER] [--folder FOLDER] [--parallel N]` and returns the exit status: 0,
/// 1 if a row failed, or 2 for bad arguments.
int
runMatrix(int aCount, const char** aArguments);

} // namespace savoryrill::matrix
