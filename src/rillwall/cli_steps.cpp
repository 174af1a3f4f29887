#include "cli_steps.h"

#include <algorithm>
#include <array>
#include <boost/json.hpp>
#include <filesystem>
#include <fstream>

#include "cli_table.h"
#include "step_trace.h"

namespace rillwall {

namespace {

namespace json = boost::json;

constexpr std::array kStepColumns = {
    TableColumn{"MODEL", "model"},     TableColumn{"STEP", "step"},
    TableColumn{"ID", "id"},           TableColumn{"EVENTS", "events"},
    TableColumn{"RUNS", "runs"},       TableColumn{"WEIGHTS", "weights"},
    TableColumn{"SLOT", "slot"},       TableColumn{"BOUND", "bound"},
    TableColumn{"SLOW", "slow"},       TableColumn{"MOVES", "moves"},
    TableColumn{"SCORE", "score"},     TableColumn{"LISTING", "listing"},
    TableColumn{"REACHED", "reached"}, TableColumn{"READ", "read"},
    TableColumn{"LATE", "late"}};
constexpr std::array kModelColumns = {
    TableColumn{"MODEL", "model"}, TableColumn{"STEPS", "steps"},
    TableColumn{"PART", "part"},   TableColumn{"MEDIAN", "median"},
    TableColumn{"90 %", "p90"},    TableColumn{"MOST", "most"}};

json::object RowOf(const StepPath& aPath) {
  json::object row;
  row["model"] = aPath.mModel;
  row["step"] = aPath.mStep;
  row["id"] = aPath.mId;
  row["item"] = aPath.mItem;
  row["accepted_ms"] = aPath.mAcceptedAt;
  row["store"] = aPath.mStore;
  row["events"] = aPath.mEvents;
  row["runs"] = aPath.mRuns;
  for (const StepPart& part : StepParts()) {
    row[part.mName] = aPath.*part.mValue;
  }
  row["reached"] = aPath.Reached();
  row["late"] = aPath.mLate;
  return row;
}

int64_t Percentile(const std::vector<int64_t>& aSorted, size_t aPercent) {
  constexpr size_t kWholePercent = 100;
  return aSorted[(aSorted.size() - 1) * aPercent / kWholePercent];
}

json::object ModelRow(const std::string& aModel, const char* aPart,
                      std::vector<int64_t> aValues) {
  constexpr size_t kMedianPercent = 50;
  constexpr size_t kP90Percent = 90;
  std::sort(aValues.begin(), aValues.end());
  json::object row;
  row["model"] = aModel;
  row["steps"] = aValues.size();
  row["part"] = aPart;
  row["median"] = Percentile(aValues, kMedianPercent);
  row["p90"] = Percentile(aValues, kP90Percent);
  row["most"] = aValues.back();
  return row;
}

/// \return one row for each model and part, with its distribution over the
/// steps
json::array ModelRows(const std::vector<StepPath>& aPaths) {
  std::map<std::string, std::vector<const StepPath*>> models;
  for (const StepPath& path : aPaths) {
    models[path.mModel].push_back(&path);
  }
  json::array rows;
  for (const auto& [model, paths] : models) {
    for (const StepPart& part : StepParts()) {
      std::vector<int64_t> values;
      for (const StepPath* path : paths) {
        values.push_back(path->*part.mValue);
      }
      rows.push_back(ModelRow(model, part.mName, std::move(values)));
    }
    std::vector<int64_t> reached;
    for (const StepPath* path : paths) {
      reached.push_back(path->Reached());
    }
    rows.push_back(ModelRow(model, "reached", std::move(reached)));
  }
  return rows;
}

}  // namespace

ExitCode ExplainSteps(const CliContext& aContext,
                      const VerbArguments& aArguments) {
  StepTrace trace;
  for (const std::string& path : aArguments.mFiles) {
    std::ifstream log(path);
    if (!log) {
      aContext.mError << "The log " << path
                      << " can't be read and is left out. Give files of JSON "
                         "lines.\n";
      continue;
    }
    trace.Read(log, std::filesystem::path(path).filename().string());
  }
  const std::vector<StepPath> paths = trace.Paths();
  json::array rows;
  for (const StepPath& path : paths) {
    rows.push_back(RowOf(path));
  }
  const json::array models = ModelRows(paths);
  if (aArguments.mJson) {
    const json::object all = {{"steps", rows}, {"models", models}};
    aContext.mOut << json::serialize(all) << "\n";
  } else if (!paths.empty()) {
    PrintTable(aContext.mOut, kStepColumns, rows);
    aContext.mOut << "\n";
    PrintTable(aContext.mOut, kModelColumns, models);
  }
  for (const std::string& gap : trace.Warnings()) {
    aContext.mError << gap << "\n";
  }
  return paths.empty() ? ExitCode::NotFound : ExitCode::Done;
}

}  // namespace rillwall
