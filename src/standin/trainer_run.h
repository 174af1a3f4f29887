/// \file
/// A trainer client: announces weight versions, opens steps, pulls and checks
/// their samples, and simulates training on them.

#pragma once

#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "driver_nodes.h"
#include "input_lines.h"
#include "trainer_log.h"

namespace rillwall::standin {

/// Command-line options of a trainer.
struct TrainerOptions {
  std::vector<std::string> mNodes;
  std::vector<std::string> mEngines;  ///< "ip:port"; checked by journal
  uint64_t mEngineRestarts = 0;       ///< their journals are lost
  std::string mName = "letters";
  std::string mModel = "letters";
  std::string mInputs;       ///< file of prompts
  std::string mWeightStore;  ///< "ip:port"
  std::string mToken;        ///< bearer token; empty for none
  std::string mOut;          ///< file for the result
  std::string mState;        ///< file of the TrainerLog; empty: none
  uint64_t mFirstStep = 1;
  uint64_t mSteps = 1;
  size_t mGroups = 256;   ///< groups per step
  size_t mGroupSize = 8;  ///< samples per group
  int64_t mMaxTokens = 4096;
  int64_t mBytes = 8 * 1024 * 1024;  ///< size of the weights
  int64_t mFirstVersion = 1;
  int64_t mMaxStaleness = -1;  ///< bound in versions; -1: none
  int64_t mTrainMillis = 0;    ///< training time per group
  int64_t mPullGroups = 16;
  int64_t mPullWaitMillis = 1000;
  int64_t mPatienceSeconds = 120;  ///< timeout without progress
  int64_t mSeconds = 0;  ///< no step starts after this time; 0: no limit
  uint64_t mAhead = 0;   ///< steps opened before the current one is trained
  uint64_t mSeed = 1;
  bool mSwapEveryStep = false;
  bool mSwapMidStep = false;  ///< announce a version when half is received
};

/// Instants of one step.
struct StepTimes {
  uint64_t mStep = 0;
  Millis mOpened;
  Millis mReceived;  ///< instant at which the last group arrived
  Millis mTrained;
};

/// Measurements of this process. What was received over all restarts is in
/// TrainerProgress.
struct TrainerStats {
  Millis mStarted;
  Millis mEnded;
  Millis mIdle;  ///< time without groups to train on
  Millis mTraining;
  std::vector<StepTimes> mSteps;
  uint64_t mPulls = 0;
  uint64_t mEmptyPulls = 0;
  uint64_t mUnfitAnswers = 0;  ///< responses to an outdated receipt
  uint64_t mReopened = 0;      ///< pulls that found the step unknown
  uint64_t mSuperseded = 0;    ///< pulls answered with a conflict
  bool mGaveUp = false;
};

/// Runs the steps of one trainer. Single-threaded.
class TrainerRun {
 public:
  TrainerRun(asio::io_context& aContext, const TrainerOptions& aOptions,
             std::vector<InputLine> aInputs, NodeSet& aNodes,
             HttpClient& aClient, TrainerLog& aLog, TrainerProgress aProgress);

  /// Runs all steps, or gives up on an error or a timeout.
  asio::awaitable<void> Run();

  const TrainerProgress& Progress() const { return mProgress; }
  const TrainerStats& Stats() const { return mStats; }

 private:
  /// Creates the weights of a version and announces it.
  /// \return whether the version is announced
  asio::awaitable<bool> Announce(int64_t aVersion);
  /// Announces the version after the newest. Concurrent calls wait for each
  /// other.
  asio::awaitable<bool> AnnounceNext();
  asio::awaitable<void> AnnounceMidStep();
  /// Creates the weights in the weight store, with retries.
  asio::awaitable<bool> CreateWeights(const std::string& aPath);
  asio::awaitable<void> RunStep(uint64_t aStep);
  asio::awaitable<bool> Open(uint64_t aStep);
  /// Pulls until the step is complete.
  /// \return false if the trainer gave up or finished
  asio::awaitable<bool> Receive(uint64_t aStep);
  /// Pulls once. A step that the nodes do not know is opened again.
  /// \return whether the step is complete, or the error that ends the trainer
  asio::awaitable<Result<bool>> Pull(uint64_t aStep);
  asio::awaitable<void> Close(uint64_t aStep);
  /// Simulates the training on the groups received, in order.
  asio::awaitable<void> Train();
  /// Waits until mStateChanged is cancelled.
  asio::awaitable<void> WaitForChange();

  /// Accepts a response if it extends the receipt held, else counts it.
  /// \param aStatedVersion newest version at the time of the pull
  void AcceptResponse(uint64_t aStep, const PullResponse& aAnswer,
                      int64_t aStatedVersion);
  /// Checks all samples of a response.
  PullRecord Check(uint64_t aStep, const PullResponse& aAnswer,
                   int64_t aStatedVersion) const;
  std::string Prompt(uint64_t aStep, size_t aGroup) const;
  std::string Target(const std::string& aRest) const;
  void GiveUp(const std::string& aReason);
  /// \return the last step to run, which is the last one started once the time
  /// limit has passed
  uint64_t LastStep() const;

  asio::io_context& mContext;
  const TrainerOptions& mOptions;
  std::vector<InputLine> mInputs;
  NodeSet& mNodes;
  HttpClient& mClient;
  TrainerLog& mLog;
  TrainerProgress mProgress;
  TrainerStats mStats;
  std::deque<uint64_t> mTrainingQueue;  ///< step of each group not yet trained
  std::map<uint64_t, size_t> mUntrainedGroups;  ///< number of groups by step
  uint64_t mLastTrainedStep = 0;
  uint64_t mLastStartedStep = 0;
  bool mFinished = false;
  bool mAnnouncing = false;
  asio::steady_timer
      mStateChanged;  ///< cancelled at each change of state to wake waiters
};

}  // namespace rillwall::standin
