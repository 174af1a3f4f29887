/// \file
/// The final report of a trainer.

#pragma once

#include <boost/json.hpp>

#include "driver_nodes.h"
#include "trainer_labels.h"
#include "trainer_run.h"

namespace rillwall::standin {

/// \return the result as JSON; "ok" is true if all guarantees held and all
/// expected samples were received
boost::json::object TrainerResult(const TrainerOptions& aOptions,
                                  const TrainerProgress& aProgress,
                                  const TrainerStats& aStats,
                                  const RetryCounts& aRetries,
                                  const LabelCounts& aLabelCounts);

}  // namespace rillwall::standin
