#include "controller/daemon.h"
#include "daemon/commandline.h"

int
main(int argc, const char** argv)
{
  using namespace savoryrill;
  return daemon::runWithSettings(
    "savoryrill-controller", argc, argv, &controller::runDaemon);
}
