#include "bench/benchcommand.h"

int
main(int argc, const char** argv)
{
  return savoryrill::bench::runBench(argc, argv);
}
