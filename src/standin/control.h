/// \file
/// Faults on command, as every stand-in offers them at /control.
///
/// A stand-in declares its own faults on a Control, wraps its handler with it
/// and reads the faults while it serves. The common faults (freeze_ms, slow_ms,
/// refuse, crash, drop_answer) are carried out by the wrapper alone.

#pragma once

#include <atomic>
#include <memory>
#include <string>
#include <string_view>
#include <system_error>
#include <vector>

#include "rillwall/http.h"

namespace rillwall::standin {

/// One fault or setting. A flag is 0 or 1; a count is used up by Take(), and
/// -1 stands for "all". Thread-safe.
class Fault {
 public:
  Fault(std::string aName, double aDefault)
      : mName(std::move(aName)), mDefault(aDefault), mValue(aDefault) {}

  const std::string& Name() const { return mName; }
  double Value() const { return mValue.load(); }
  int64_t Count() const { return static_cast<int64_t>(mValue.load()); }
  Millis Span() const { return Millis(Count()); }
  bool On() const { return mValue.load() != 0; }
  /// Uses up one of a count.
  /// \return whether the fault strikes now
  bool Take();
  void Set(double aValue) { mValue = aValue; }
  void Reset() { mValue = mDefault.load(); }
  /// Sets the value and what Reset() goes back to.
  void SetDefault(double aValue);

 private:
  std::string mName;
  std::atomic<double> mDefault;
  std::atomic<double> mValue;
};

/// The faults of one stand-in. Declare all before serving.
class Control {
 public:
  /// \param aExempt paths that no fault touches, besides /control: what a test
  /// reads to check (a journal, counts)
  explicit Control(std::vector<std::string> aExempt = {});

  /// Declares a fault or setting of this stand-in.
  /// \return it; valid as long as the Control
  Fault& Add(std::string aName, double aDefault = 0);

  /// Applies a JSON object of faults, all or none.
  /// \return nothing, or BadRequest naming the unknown field and the known ones
  Result<void> Apply(std::string_view aJson);
  /// Sets what one fault starts with and is reset to, from "name=value".
  Result<void> ApplyDefault(std::string_view aAssignment);
  /// \return all faults as a JSON object
  std::string Text() const;

  /// Waits while the process is frozen. Exchanges of a wrapped handler do so
  /// by themselves; work in the background must call it.
  asio::awaitable<void> Thawed() const;
  /// Waits as long as slow_ms says.
  asio::awaitable<void> Slowed() const;

  /// \return a handler that serves /control and carries out the common faults
  /// around aHandler
  HttpHandler Wrap(HttpHandler aHandler);

 private:
  class Exchange;
  bool Exempt(std::string_view aPath) const;
  Fault* Find(std::string_view aName) const;
  HttpResponse AnswerControl(const HttpRequest& aRequest);
  Result<void> CheckKnown(std::string_view aName) const;
  void ResetAll();

  std::vector<std::string> mExempt;
  std::vector<std::unique_ptr<Fault>> mFaults;
  Fault* mFreeze;
  Fault* mSlow;
  Fault* mRefuse;
  Fault* mCrash;
  Fault* mDropAnswer;
  /// Instant until which nothing is answered.
  std::atomic<int64_t> mFrozenUntil{0};
};

/// \return the monotonic clock's time
Millis Now();
/// Waits in a coroutine.
asio::awaitable<void> Sleep(Millis aSpan);

}  // namespace rillwall::standin
