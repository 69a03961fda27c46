#include "testing/testbedcommand.h"

int
main(int argc, const char** argv)
{
  return savoryrill::testing::runTestbed(argc, argv);
}
