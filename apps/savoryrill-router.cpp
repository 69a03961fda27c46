#include "daemon/commandline.h"
#include "router/daemon.h"

int
main(int argc, const char** argv)
{
  using namespace savoryrill;
  return daemon::runWithSettings("savoryrill-router", argc, argv, &router::runDaemon);
}
