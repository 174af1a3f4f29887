/// \file
/// Fault injection for the stand-ins through the HTTP path /control.
///
/// A stand-in declares its own faults with Control::Add(), wraps its handler
/// with Control::Wrap() and reads the faults while it serves. The wrapper
/// implements the common faults: freeze_ms, slow_ms, refuse, crash and
/// drop_answer.

#pragma once

#include <atomic>
#include <memory>
#include <string>
#include <string_view>
#include <system_error>
#include <vector>

#include "rillwall/http.h"

namespace rillwall::standin {

/// A fault or setting. The value is a flag (0 or 1), a number, or a count of
/// faults to inject that Consume() decrements; a count of -1 is unlimited.
/// Thread-safe.
class Fault {
 public:
  Fault(std::string aName, double aDefault)
      : mName(std::move(aName)), mDefault(aDefault), mValue(aDefault) {}

  const std::string& Name() const { return mName; }
  double Value() const { return mValue.load(); }
  int64_t Count() const { return static_cast<int64_t>(mValue.load()); }
  /// \return the value as milliseconds
  Millis Duration() const { return Millis(Count()); }
  bool On() const { return mValue.load() != 0; }
  /// Decrements a positive count.
  /// \return whether the fault must be injected now
  bool Consume();
  void Set(double aValue) { mValue = aValue; }
  void Reset() { mValue = mDefault.load(); }
  /// Sets the value and the default that Reset() restores.
  void SetDefault(double aValue);

 private:
  std::string mName;
  std::atomic<double> mDefault;
  std::atomic<double> mValue;
};

/// The faults of one stand-in. All faults must be declared before serving.
class Control {
 public:
  /// \param aExempt paths on which no fault acts, besides /control, so that
  /// tests can read results (a journal, counts) while faults are active
  explicit Control(std::vector<std::string> aExempt = {});

  /// Declares a fault or setting of this stand-in.
  /// \return the fault; valid during the lifetime of the Control
  Fault& Add(std::string aName, double aDefault = 0);

  /// Applies a JSON object of faults by name, either all or none.
  /// \return nothing, or BadRequest with the unknown name and the known ones
  Result<void> Apply(std::string_view aJson);
  /// Sets the value and the default of one fault.
  /// \param aAssignment "name=number"
  /// \return nothing, or BadRequest
  Result<void> ApplyDefault(std::string_view aAssignment);
  /// \return all faults as a JSON object
  std::string ToJson() const;

  /// Waits while freeze_ms is in effect. The wrapper waits before it writes a
  /// response; background work must call this method itself.
  asio::awaitable<void> WaitWhileFrozen() const;
  /// Waits for the duration of slow_ms.
  asio::awaitable<void> DelayIfSlowed() const;

  /// \return a handler that serves /control and injects the common faults into
  /// the exchanges of aHandler
  HttpHandler Wrap(HttpHandler aHandler);

 private:
  class Exchange;
  bool IsExempt(std::string_view aPath) const;
  Fault* Find(std::string_view aName) const;
  HttpResponse HandleControl(const HttpRequest& aRequest);
  Result<void> CheckKnown(std::string_view aName) const;
  void ResetAll();

  std::vector<std::string> mExempt;
  std::vector<std::unique_ptr<Fault>> mFaults;
  Fault* mFreeze;
  Fault* mSlow;
  Fault* mRefuse;
  Fault* mCrash;
  Fault* mDropAnswer;
  /// Instant until which freeze_ms suspends all responses, in milliseconds.
  std::atomic<int64_t> mFrozenUntil{0};
};

/// \return the time of the monotonic clock
Millis Now();
/// Suspends the calling coroutine for a duration.
asio::awaitable<void> Sleep(Millis aSpan);

}  // namespace rillwall::standin
