#include "rillwall/step_spool.h"

#define XXH_INLINE_ALL
#include <fcntl.h>
#include <unistd.h>
#include <xxhash.h>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <cerrno>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <memory>
#include <optional>

#include "rillwall/event_log.h"
#include "rillwall/node_context.h"
#include "rillwall/rollout_record.h"

namespace rillwall {

namespace {

namespace fs = std::filesystem;

/// Steps are given up after about a minute, and a file is not needed for longer
/// than its step.
constexpr std::chrono::minutes kMaxAge{10};
/// Time limit for reading a step's file, which has some MB at most.
constexpr Millis kLoadTimeout{400};
constexpr Millis kLoadPoll{5};
constexpr char kSuffix[] = ".texts";
constexpr size_t kHashDigits = 16;

std::string Hash(std::string_view aText) {
  constexpr char kDigits[] = "0123456789abcdef";
  uint64_t hash = XXH64(aText.data(), aText.size(), 0);
  std::string digits(kHashDigits, '0');
  for (size_t i = kHashDigits; i > 0; --i) {
    digits[i - 1] = kDigits[hash % 16];
    hash /= 16;
  }
  return digits;
}

/// \return one line of a file: checksum, space, JSON
std::string LineOf(const std::vector<RolloutPart>& aParts) {
  const std::string text = EncodeParts(aParts);
  return Hash(text) + " " + text + "\n";
}

std::string LastError(const char* aWhat) {
  return std::string(aWhat) + ": " + std::strerror(errno);
}

/// \return the error, or an empty string if all bytes are on the disk
std::string AppendToFile(const std::string& aPath, std::string_view aLine) {
  const int file =
      ::open(aPath.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
  if (file < 0) {
    return LastError("open");
  }
  std::string failed;
  while (failed.empty() && !aLine.empty()) {
    const ssize_t done = ::write(file, aLine.data(), aLine.size());
    if (done < 0) {
      failed = LastError("write");
    } else {
      aLine.remove_prefix(static_cast<size_t>(done));
    }
  }
  if (failed.empty() && ::fdatasync(file) != 0) {
    failed = LastError("sync");
  }
  ::close(file);
  return failed;
}

std::vector<RolloutPart> ReadFile(const std::string& aPath) {
  std::vector<RolloutPart> all;
  std::ifstream input(aPath);
  std::string line;
  while (std::getline(input, line)) {
    const bool framed = line.size() > kHashDigits && line[kHashDigits] == ' ';
    const std::string text = framed ? line.substr(kHashDigits + 1) : "";
    if (!framed || line.substr(0, kHashDigits) != Hash(text)) {
      break;
    }
    const Result<std::vector<RolloutPart>> parts = DecodeParts(text);
    if (!parts) {
      break;
    }
    all.insert(all.end(), parts->begin(), parts->end());
  }
  return all;
}

/// Removes files that were written long before the newest one. Ages are
/// compared among files, as the clocks of the file system and of the process
/// may differ.
/// \return the size of the remaining files
size_t RemoveOldFiles(const std::string& aFolder) {
  std::vector<fs::directory_entry> files;
  fs::file_time_type newest = fs::file_time_type::min();
  std::error_code ignored;
  for (const fs::directory_entry& entry :
       fs::directory_iterator(aFolder, ignored)) {
    if (entry.path().extension() == kSuffix) {
      files.push_back(entry);
      newest = std::max(newest, entry.last_write_time(ignored));
    }
  }
  size_t bytes = 0;
  for (const fs::directory_entry& entry : files) {
    if (newest - entry.last_write_time(ignored) > kMaxAge) {
      fs::remove(entry.path(), ignored);
    } else {
      bytes += entry.file_size(ignored);
    }
  }
  return bytes;
}

}  // namespace

void StepSpool::Open(std::string aFolder, size_t aMaxBytes) {
  mFolder = std::move(aFolder);
  mMaxBytes = aMaxBytes;
  if (IsOpen()) {
    asio::post(mDisk, [this] { mBytes = RemoveOldFiles(mFolder); });
  }
}

std::string StepSpool::PathOf(const std::string& aStep) const {
  // Step ids come from clients and must not become file names.
  return mFolder + "/" + Hash(aStep) + kSuffix;
}

asio::awaitable<std::string> StepSpool::Append(
    std::string aStep, std::vector<RolloutPart> aParts) {
  const auto append = [](StepSpool* aSelf, std::string aPath,
                         std::string aLine) -> asio::awaitable<std::string> {
    if (aSelf->mBytes + aLine.size() > aSelf->mMaxBytes) {
      co_return std::string("the size limit of the spool files is reached");
    }
    aSelf->mBytes += aLine.size();
    co_return AppendToFile(aPath, aLine);
  };
  co_return co_await asio::co_spawn(
      mDisk, append(this, PathOf(aStep), LineOf(aParts)), asio::use_awaitable);
}

asio::awaitable<std::vector<RolloutPart>> StepSpool::Load(std::string aStep) {
  using Parts = std::vector<RolloutPart>;
  if (!IsOpen()) {
    co_return Parts();
  }
  // The load is polled rather than awaited, so that a disk that hangs does not
  // block a takeover.
  const auto loaded = std::make_shared<std::optional<Parts>>();
  asio::post(mDisk, [this, loaded, path = PathOf(aStep)] {
    asio::post(mIo, [loaded, parts = ReadFile(path)] { *loaded = parts; });
  });
  for (Millis waited; !*loaded && waited < kLoadTimeout; waited += kLoadPoll) {
    co_await Sleep(mIo, kLoadPoll);
  }
  if (!*loaded) {
    Event("spool-unread")
        .Id(aStep)
        .Text("why", "the disk did not answer in time")
        .Write();
    co_return Parts();
  }
  co_return std::move(**loaded);
}

void StepSpool::Remove(const std::string& aStep) {
  if (IsOpen()) {
    asio::post(mDisk, [this, path = PathOf(aStep)] {
      std::error_code missing;  // steps that ended early have no file
      const uintmax_t bytes = fs::file_size(path, missing);
      if (!missing && fs::remove(path, missing)) {
        mBytes -= std::min<size_t>(mBytes, bytes);
      }
    });
  }
}

}  // namespace rillwall
