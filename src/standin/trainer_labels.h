/// \file
/// Compares the labels of samples with the journals of the engines.

#pragma once

#include <vector>

#include "driver_journals.h"
#include "trainer_log.h"

namespace rillwall::standin {

/// Result of comparing labels with the journals.
struct LabelCounts {
  uint64_t mTrue = 0;     ///< all spans are in the journals
  uint64_t mFalse = 0;    ///< a span is in no journal, and no journal is lost
  uint64_t mUnknown = 0;  ///< a span may be in a journal that is lost
  uint64_t mJournalsLost = 0;
};

/// \param aRestarts number of engine restarts, each of which lost a journal
/// \return the labels by result
LabelCounts CompareLabels(const EngineJournals& aJournals,
                          const std::vector<SampleLabel>& aLabels,
                          uint64_t aRestarts);

}  // namespace rillwall::standin
