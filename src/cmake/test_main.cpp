/// \file
/// Entry of every test program: runs the tests registered with CppUnit and
/// prints one line "NAME: N passed, N failed" for scripts/test to add up.

#include <cppunit/BriefTestProgressListener.h>
#include <cppunit/CompilerOutputter.h>
#include <cppunit/TestResult.h>
#include <cppunit/TestResultCollector.h>
#include <cppunit/TestRunner.h>
#include <cppunit/extensions/TestFactoryRegistry.h>

#include <cstdlib>
#include <iostream>

int main(int aCount, char** aArgs) {
  // Property tests play the same cases each time, so that a run has one
  // verdict. Others are played by setting the variable, as "seed=7
  // max_success=10000".
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
