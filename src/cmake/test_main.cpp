/// \file
/// Entry point of every test program: runs the tests registered with CppUnit
/// and prints a line "tests: N passed, N failed", which scripts/test sums up.

#include <cppunit/BriefTestProgressListener.h>
#include <cppunit/CompilerOutputter.h>
#include <cppunit/TestResult.h>
#include <cppunit/TestResultCollector.h>
#include <cppunit/TestRunner.h>
#include <cppunit/extensions/TestFactoryRegistry.h>

#include <cstdlib>
#include <iostream>

int main(int aCount, char** aArgs) {
  // A fixed seed gives property tests the same cases in each run, so that the
  // result is reproducible. Set the variable for other cases, for example to
  // "seed=7 max_success=10000".
  setenv("RC_PARAMS", "seed=1", 0);
  CppUnit::TestResult controller;
  CppUnit::TestResultCollector collector;
  CppUnit::BriefTestProgressListener progress;
  controller.addListener(&collector);
  controller.addListener(&progress);
  CppUnit::TestRunner runner;
  runner.addTest(CppUnit::TestFactoryRegistry::getRegistry().makeTest());
  runner.run(controller, aCount > 1 ? aArgs[1] : "");
  CppUnit::CompilerOutputter outputter(&collector, std::cerr);
  outputter.write();
  const int failed = collector.testFailuresTotal();
  std::cout << "tests: " << collector.runTests() - failed << " passed, "
            << failed << " failed\n";
  return collector.wasSuccessful() && collector.runTests() > 0 ? 0 : 1;
}
