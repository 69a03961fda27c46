#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/TestRegistry.h>

int
main(int argc, char** argv)
{
  // Libraries allocate caches that live until exit, which the leak detector of the
  // test framework would report; the sanitizer build checks leaks instead.
  MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
  // RunAllTests would also install the detector, whose final report reads allocations
  // made before main that have been freed since, and crashes.
  CommandLineTestRunner runner(argc, argv, TestRegistry::getCurrentRegistry());
  return runner.runAllTestsMain();
}
