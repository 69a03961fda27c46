#include "matrix/matrixcommand.h"

int
main(int argc, const char** argv)
{
  return savoryrill::matrix::runMatrix(argc, argv);
}
