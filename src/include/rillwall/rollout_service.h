/// \file
/// Owns rollout steps: accepts them durably, runs their items, lists results
/// at positions that never change, and takes over steps whose owner is gone.
///
/// Each step has one owner, named by its record in the store. Every append is
/// guarded by the record's revision, so that an owner that was replaced while
/// it was paused or cut off can append nothing.

#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "rillwall/node_context.h"
#include "rillwall/result_cache.h"
#include "rillwall/rollout.h"
#include "rillwall/rollout_record.h"
#include "rillwall/step_spool.h"
#include "rillwall/text_move.h"

namespace rillwall {

/// Where a step is served.
struct RolloutLocation {
  enum class Kind {
    Local,    ///< this node owns it, or holds all that it ever listed
    Remote,   ///< another node does
    Unknown,  ///< no such step was ever accepted
  };
  Kind mKind = Kind::Unknown;
  std::string mAddress;  ///< of the other node
  bool mEnded = false;
};

/// Results from one position on.
struct RolloutRead {
  int64_t mTotal = 0;
  int64_t mNext = 0;
  std::vector<RolloutResult> mResults;
};

/// \param aListed results of a step
/// \param aFirst position of the first of them
/// \return those from aAfter on, as many as one answer holds
RolloutRead ReadFrom(const std::vector<RolloutResult>& aListed, int64_t aFirst,
                     int64_t aTotal, int64_t aAfter);

struct RolloutStep;

class RolloutService {
 public:
  /// Reads a submission again from its stored body.
  using SpecDecoder = std::function<Result<RolloutSpec>(
      const std::string& aId, const StepRecord& aRecord,
      const std::string& aBody)>;

  RolloutService(NodeContext& aNode, SpecDecoder aDecoder);
  ~RolloutService();

  /// Texts are kept there while the store is away; unused until it is opened.
  StepSpool mSpool;

  /// Called with each step that this node takes, and its work.
  std::function<void(const RolloutSpec&, double)> mOnStep;

  /// Accepts a step durably and runs it here. While the store does not answer
  /// the step runs already, but nothing of it is listed; whoever submits it
  /// again waits for the same acceptance. It is dropped if nobody does.
  /// \param aBody the submission as it came, to be kept in the store
  /// \return an error whose Run() is Unknown if the step may be accepted yet
  asio::awaitable<std::optional<Error>> Accept(RolloutSpec aSpec, Route aRoute,
                                               std::string aBody);
  /// \param aAdopt take the step over if its owner does not answer
  asio::awaitable<Result<RolloutLocation>> Locate(std::string aId, bool aAdopt);
  /// \return whether the step is here, or its place is remembered
  bool Knows(const std::string& aId) const;
  /// The node at this address did not answer for a step.
  void ForgetLocation(const std::string& aId);

  /// For steps that are here. Waits for a result at aAfter, if there is none.
  asio::awaitable<Result<RolloutRead>> Read(std::string aId, int64_t aAfter,
                                            Millis aWait);
  /// \return the body of an item, or nothing if it has none to give
  std::optional<std::string> Body(const std::string& aId,
                                  const std::string& aItem) const;
  asio::awaitable<std::optional<Error>> End(std::string aId);

  /// Takes over all open steps whose owner does not answer; for a new lead.
  /// \param aGone address that is known not to answer; may be empty
  asio::awaitable<void> AdoptOrphans(std::string aGone = {});
  /// Removes steps from the store that ended long ago; for the lead.
  asio::awaitable<void> Sweep();
  /// Loads an ended step from the store, to be read here. Whoever asks for it
  /// meanwhile shares the load: the clients that look at a step come together.
  asio::awaitable<std::optional<Error>> LoadArchive(std::string aId);
  /// Starts items for which replicas have room.
  void StartReadyItems();
  /// Watches over open steps until the process ends.
  asio::awaitable<void> Run();
  /// \return whether a step is here and still open
  bool Owns(const std::string& aId) const;
  size_t OpenSteps() const;

 private:
  using StepPtr = std::shared_ptr<RolloutStep>;
  /// An ended step that is being read from the store.
  struct ArchiveLoad;
  asio::awaitable<std::optional<Error>> ReadArchive(std::string aId);

  /// Stretches of unfinished texts in the store.
  struct KeptTexts {
    std::vector<RolloutPart> mParts;
    int64_t mNext = 0;  ///< number of the next write
  };

  StepPtr MakeStep(RolloutSpec aSpec, const Route& aRoute, StepRecord aRecord,
                   int64_t aRevision);
  void AdoptTexts(RolloutStep& aStep);
  /// Keeps what a step leaves, for a later one.
  void Carry(const RolloutStep& aStep);
  asio::awaitable<Result<StepPtr>> TakeOver(std::string aId, StepRecord aRecord,
                                            int64_t aRevision);
  /// The same, while no other takeover of the step is under way here.
  asio::awaitable<Result<StepPtr>> TakeOverOnce(std::string aId,
                                                StepRecord aRecord,
                                                int64_t aRevision);
  /// Takes one orphan over, or logs why not.
  asio::awaitable<void> TakeOrphan(std::string aId, StepRecord aRecord,
                                   int64_t aRevision);
  /// A step whose record is on its way to the store.
  struct Acceptance;
  using AcceptancePtr = std::shared_ptr<Acceptance>;
  AcceptancePtr MakeAcceptance(RolloutSpec aSpec, Route aRoute,
                               const std::string& aBody);
  /// Runs the step if the store has not answered a moment later.
  asio::awaitable<void> BeginSoon(AcceptancePtr aAcceptance);
  /// Writes the record until the store has answered or nobody asks any more.
  asio::awaitable<void> Settle(AcceptancePtr aAcceptance);
  /// Makes one write of it.
  /// \return its outcome, or nothing if it is to be made again
  asio::awaitable<std::optional<Result<int64_t>>> CommitOnce(
      AcceptancePtr aAcceptance);
  /// Runs the step, if it does not run yet.
  void Begin(const AcceptancePtr& aAcceptance);
  /// The store has the record, by this node or another one.
  /// \param aTook since the record was first written
  void Conclude(const AcceptancePtr& aAcceptance, int64_t aRevision,
                Millis aTook);
  /// Ends the runs of a step that was not accepted here.
  void Discard(const AcceptancePtr& aAcceptance, const char* aWhy);
  asio::awaitable<Result<std::vector<RolloutResult>>> LoadPages(
      std::string aId);
  asio::awaitable<Result<std::string>> LoadBody(std::string aId);
  /// Reads what earlier owners kept of unfinished texts.
  asio::awaitable<Result<KeptTexts>> LoadParts(std::string aId);
  /// Removes the marks of takeovers from owners that are long gone.
  asio::awaitable<void> SweepTaken(int64_t aOldestMs);
  asio::awaitable<std::optional<Error>> Remove(std::string aId,
                                               int64_t aRevision);
  asio::awaitable<bool> Answers(std::string aAddress);

  /// \return whether a step is known well enough not to have ended elsewhere
  bool MayStart(const RolloutStep& aStep) const;
  bool StartNext(const StepPtr& aStep);
  /// \return the service that an item's route allows; null: none
  static const std::string* ServiceOf(const RolloutStep& aStep, size_t aItem);
  /// \return what a step's texts ask of a replica, but for its service
  ReplicaRequirements RequirementsOf(const RolloutStep& aStep) const;
  std::optional<std::string> ChooseReplica(const RolloutStep& aStep,
                                           const RolloutPick& aPick) const;
  /// Ends streams at slower replicas if a faster one has room; the items go on
  /// there.
  void MoveFromSlow(const StepPtr& aStep);
  asio::awaitable<void> RunItem(StepPtr aStep, size_t aItem, Replica aReplica);
  asio::awaitable<void> ScoreItem(StepPtr aStep, size_t aItem);
  /// Writes results and unfinished texts down if that is due.
  void ScheduleFlush(const StepPtr& aStep);
  /// \param aList results too, not only unfinished texts
  asio::awaitable<void> Flush(StepPtr aStep, bool aList);
  /// Writes texts to the disk while the store takes none.
  void ScheduleSpool(const StepPtr& aStep);
  asio::awaitable<void> Spool(StepPtr aStep, std::vector<RolloutPart> aParts);
  /// Makes one write, as often as it takes. \return whether it is done
  asio::awaitable<bool> CommitWrite(StepPtr aStep, StoreChange aChange);
  /// Makes sure that this node still owns a step, by the store's word of less
  /// than a second ago.
  asio::awaitable<std::optional<Error>> Verify(StepPtr aStep);
  /// The same for one step by its own record.
  asio::awaitable<std::optional<Error>> VerifyRecord(StepPtr aStep);
  /// Asks once for all steps whether one was taken from this node.
  asio::awaitable<std::optional<Error>> VerifyAll();
  asio::awaitable<std::optional<Error>> AskTaken();
  /// This node owns the step no more.
  void Drop(const StepPtr& aStep, const char* aWhy);
  std::vector<StepPtr> RunningSteps() const;
  void StopRuns(RolloutStep& aStep);
  void Tick();

  NodeContext& mNode;
  const SpecDecoder mDecoder;
  std::map<std::string, StepPtr> mSteps;
  /// What ended steps listed, each of them whole.
  ResultCache mArchives;
  std::map<std::string, std::shared_ptr<ArchiveLoad>> mArchiveLoads;
  /// Steps that are being taken over here, and those that are being accepted.
  /// Neither may begin while the other goes on: both end in mSteps.
  std::set<std::string> mTaking;
  std::map<std::string, AcceptancePtr> mAcceptances;
  std::map<std::string, std::string> mPlaces;  ///< addresses of other owners
  LengthHints mLengths;
  bool mVerifying = false;  ///< the store is being asked about all steps
  std::optional<Error> mVerifyFailure;  ///< of the last such call
  int64_t mTakenRevision = 0;  ///< of the key that tells of takeovers from us
  /// Texts of groups that were not whole when their step ended, by item.
  using CarriedTexts = std::map<std::string, RolloutText>;
  std::map<std::string, CarriedTexts> mCarried;  ///< by account
};

}  // namespace rillwall
