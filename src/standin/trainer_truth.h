/// \file
/// Holding labels against what the engines' journals say was true.

#pragma once

#include <vector>

#include "driver_journals.h"
#include "trainer_log.h"

namespace rillwall::standin {

/// How labels compare with the journals.
struct TruthCounts {
  uint64_t mTrue = 0;
  uint64_t mFalse = 0;    ///< a span that no engine produced
  uint64_t mUnknown = 0;  ///< may lie in a journal that could not be read
  uint64_t mJournalsLost = 0;
};

/// \param aRestarts engines restarted meanwhile, whose journals were lost too
TruthCounts CompareLabels(const EngineJournals& aJournals,
                          const std::vector<SampleLabel>& aLabels,
                          uint64_t aRestarts);

}  // namespace rillwall::standin
