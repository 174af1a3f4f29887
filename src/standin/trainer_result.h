/// \file
/// What a trainer reports at its end.

#pragma once

#include <boost/json.hpp>

#include "driver_nodes.h"
#include "trainer_run.h"
#include "trainer_truth.h"

namespace rillwall::standin {

/// \return the result as JSON; "ok" says whether all promises held
boost::json::object TrainerResult(const TrainerOptions& aOptions,
                                  const TrainerProgress& aProgress,
                                  const TrainerFigures& aFigures,
                                  const RepeatCounts& aRepeats,
                                  const TruthCounts& aTruth);

}  // namespace rillwall::standin
