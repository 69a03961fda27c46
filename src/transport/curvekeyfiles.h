#pragma once

#include <string>

#include "base/result.h"
#include "transport/peernetwork.h"

namespace savoryrill::transport {

/// A CURVE key pair in z85 text, 40 characters each.
struct CurveKeyPair
{
  std::string secretKey;
  std::string publicKey;
};

/// Generates a key pair and writes it to the two files; only the owner can read the
/// secret key file. Fails with Conflict if a file exists, with Unavailable if one cannot
/// be written, with Internal if libzmq has no CURVE. Thread safe.
Result<void>
generateCurveKeys(const CurveKeys& aFiles);

/// Reads a key pair and ignores white space around the keys. Fails with InvalidArgument
/// if a file cannot be read or holds no key, or if the keys are not a pair. Thread safe.
Result<CurveKeyPair>
readCurveKeys(const CurveKeys& aFiles);

} // namespace savoryrill::transport
