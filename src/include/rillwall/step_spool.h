/// \file
/// Keeps texts of open steps on this host's own disk while the store does not
/// answer.
///
/// Durable state is in the store. During an outage of the store nothing can be
/// written there, and a process that ends meanwhile would lose the texts that
/// it generated. An owner therefore appends its unlisted texts to one file for
/// each step. The next process on the same host resumes them once the store
/// answers again. A lost or broken file costs only time: its texts are
/// generated again.

#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/thread_pool.hpp>
#include <string>
#include <vector>

#include "rillwall/rollout.h"

namespace rillwall {

namespace asio = boost::asio;

/// Files with unlisted texts, one for each step. Disk calls run on a thread of
/// their own.
class StepSpool {
 public:
  explicit StepSpool(asio::io_context& aIo) : mIo(aIo) {}
  ~StepSpool() { mDisk.join(); }

  /// Opens the folder and removes files that are too old for their steps to be
  /// still open.
  /// \param aFolder where the files are; if empty, nothing is kept
  /// \param aMaxBytes limit for all files together
  void Open(std::string aFolder, size_t aMaxBytes);
  /// \return whether a folder was given
  bool IsOpen() const { return !mFolder.empty(); }

  /// Appends texts to a step's file and syncs it to the disk.
  /// \return the error, or an empty string if the texts are on the disk
  asio::awaitable<std::string> Append(std::string aStep,
                                      std::vector<RolloutPart> aParts);
  /// \return the texts in the step's file, up to the first broken line; empty
  /// if the disk does not answer in time
  asio::awaitable<std::vector<RolloutPart>> Load(std::string aStep);
  /// Removes the file of a step that no longer needs it.
  void Remove(const std::string& aStep);

 private:
  std::string PathOf(const std::string& aStep) const;

  asio::io_context& mIo;
  /// Disk calls run on a thread of their own, as a disk may hang for seconds.
  asio::thread_pool mDisk{1};
  std::string mFolder;
  size_t mMaxBytes = 0;
  size_t mBytes = 0;  ///< approximate size of all files; used on mDisk only
};

}  // namespace rillwall
