#include "control.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>
#include <charconv>
#include <chrono>
#include <cstdlib>

namespace rillwall::standin {

namespace json = boost::json;

namespace {

constexpr char kControlPath[] = "/control";
constexpr int kCrashStatus = 70;
constexpr Millis kFreezeStep{5};

/// \return a JSON number or boolean as a number, or BadRequest
Result<double> NumberFrom(std::string_view aName, const json::value& aValue) {
  if (aValue.is_bool()) {
    return aValue.get_bool() ? 1.0 : 0.0;
  }
  if (aValue.is_number()) {
    return aValue.to_number<double>();
  }
  return Error(ErrorKind::BadRequest,
               std::string(aName) + " must be a number, true or false.");
}

json::object ErrorObject(const Error& aError) {
  json::object particulars;
  particulars["kind"] = ErrorName(aError.Kind());
  particulars["message"] = aError.Detail();
  json::object error;
  error["error"] = std::move(particulars);
  return error;
}

HttpResponse ResponseFor(const Error& aError) {
  return HttpResponse::Json(ErrorStatus(aError.Kind()),
                            json::serialize(ErrorObject(aError)));
}

HttpResponse Refusal() {
  return ResponseFor(
      Error(ErrorKind::Unavailable,
            "Refused by the injected fault; reset it at /control."));
}

std::error_code DroppedError() {
  return make_error_code(ErrorKind::ConnectionLost);
}

}  // namespace

bool Fault::Consume() {
  double left = mValue.load();
  while (left > 0) {
    if (mValue.compare_exchange_weak(left, left - 1)) {
      return true;
    }
  }
  return left < 0;
}

void Fault::SetDefault(double aValue) {
  mDefault = aValue;
  mValue = aValue;
}

/// Decorates an exchange with the common faults that act on responses.
class Control::Exchange final : public HttpExchange {
 public:
  Exchange(const Control& aControl, HttpExchange& aInner)
      : mControl(aControl), mInner(aInner) {}

  asio::awaitable<std::error_code> Respond(HttpResponse aResponse) override {
    const bool answer = co_await PrepareResponse();
    if (!answer) {
      co_return DroppedError();
    }
    co_return co_await mInner.Respond(std::move(aResponse));
  }
  asio::awaitable<std::error_code> Begin(HttpResponse aHead) override {
    const bool answer = co_await PrepareResponse();
    if (!answer) {
      co_return DroppedError();
    }
    co_return co_await mInner.Begin(std::move(aHead));
  }
  asio::awaitable<std::error_code> Write(std::string aChunk) override {
    co_await mControl.WaitWhileFrozen();
    co_return co_await mInner.Write(std::move(aChunk));
  }
  asio::awaitable<std::error_code> End() override {
    co_await mControl.WaitWhileFrozen();
    co_return co_await mInner.End();
  }
  void Abort() override { mInner.Abort(); }
  std::string Peer() const override { return mInner.Peer(); }
  bool PeerDisconnected() const override { return mInner.PeerDisconnected(); }
  void OnPeerDisconnected(std::function<void()> aCall) override {
    mInner.OnPeerDisconnected(std::move(aCall));
  }

 private:
  /// Applies the delays and drop_answer. The handler has done its work before,
  /// so a dropped response leaves an effect that the caller cannot know.
  /// \return whether to send the response
  asio::awaitable<bool> PrepareResponse() {
    co_await mControl.DelayIfSlowed();
    co_await mControl.WaitWhileFrozen();
    const bool dropped = mControl.mDropAnswer->Consume();
    if (dropped) {
      mInner.Abort();
    }
    co_return !dropped;
  }

  const Control& mControl;
  HttpExchange& mInner;
};

Control::Control(std::vector<std::string> aExempt)
    : mExempt(std::move(aExempt)),
      mFreeze(&Add("freeze_ms")),
      mSlow(&Add("slow_ms")),
      mRefuse(&Add("refuse")),
      mCrash(&Add("crash")),
      mDropAnswer(&Add("drop_answer")) {}

Fault& Control::Add(std::string aName, double aDefault) {
  mFaults.push_back(std::make_unique<Fault>(std::move(aName), aDefault));
  return *mFaults.back();
}

Fault* Control::Find(std::string_view aName) const {
  for (const auto& fault : mFaults) {
    if (fault->Name() == aName) {
      return fault.get();
    }
  }
  return nullptr;
}

Result<void> Control::CheckKnown(std::string_view aName) const {
  if (Find(aName)) {
    return {};
  }
  std::string message = "Unknown fault \"" + std::string(aName) + "\"; known:";
  for (const auto& fault : mFaults) {
    message += " " + fault->Name();
  }
  return Error(ErrorKind::BadRequest, message + " reset.");
}

void Control::ResetAll() {
  for (const auto& fault : mFaults) {
    fault->Reset();
  }
  mFrozenUntil = 0;
}

Result<void> Control::Apply(std::string_view aJson) {
  boost::system::error_code failure;
  const json::value parsed = json::parse(aJson, failure);
  if (failure || !parsed.is_object()) {
    return Error(ErrorKind::BadRequest, "The body must be a JSON object.");
  }
  for (const auto& [name, value] : parsed.get_object()) {
    const Result<double> number = NumberFrom(name, value);
    if (!number.has_value()) {
      return number.error();
    }
    const Result<void> known = CheckKnown(name);
    if (name != "reset" && !known.has_value()) {
      return known;
    }
  }
  const json::value* reset = parsed.get_object().if_contains("reset");
  if (reset && NumberFrom("reset", *reset).value() != 0) {
    ResetAll();
  }
  for (const auto& [name, value] : parsed.get_object()) {
    if (name != "reset") {
      Find(name)->Set(NumberFrom(name, value).value());
    }
  }
  if (parsed.get_object().contains(mFreeze->Name())) {
    mFrozenUntil = (Now() + mFreeze->Duration()).Count();
  }
  if (mCrash->On()) {
    std::_Exit(kCrashStatus);
  }
  return {};
}

Result<void> Control::ApplyDefault(std::string_view aAssignment) {
  const size_t equals = aAssignment.find('=');
  const std::string_view name = aAssignment.substr(0, equals);
  const Result<void> known = CheckKnown(name);
  if (!known.has_value()) {
    return known;
  }
  double value = 0;
  const char* end = aAssignment.data() + aAssignment.size();
  const char* begin =
      equals == std::string_view::npos ? end : aAssignment.data() + equals + 1;
  const auto [stop, failure] = std::from_chars(begin, end, value);
  if (failure != std::errc() || stop != end) {
    return Error(ErrorKind::BadRequest,
                 std::string(aAssignment) + " is not name=number.");
  }
  Find(name)->SetDefault(value);
  return {};
}

std::string Control::ToJson() const {
  json::object text;
  for (const auto& fault : mFaults) {
    text[fault->Name()] = fault->Value();
  }
  return json::serialize(text);
}

asio::awaitable<void> Control::WaitWhileFrozen() const {
  while (Now().Count() < mFrozenUntil.load()) {
    co_await Sleep(kFreezeStep);
  }
}

asio::awaitable<void> Control::DelayIfSlowed() const {
  if (mSlow->On()) {
    co_await Sleep(mSlow->Duration());
  }
}

bool Control::IsExempt(std::string_view aPath) const {
  for (const std::string& path : mExempt) {
    if (aPath == path) {
      return true;
    }
  }
  return false;
}

HttpResponse Control::HandleControl(const HttpRequest& aRequest) {
  if (aRequest.mMethod == "POST") {
    const Result<void> applied = Apply(aRequest.mBody);
    if (!applied.has_value()) {
      return ResponseFor(applied.error());
    }
  }
  return HttpResponse::Json(200, ToJson());
}

HttpHandler Control::Wrap(HttpHandler aHandler) {
  return [this, handler = std::move(aHandler)](
             const HttpRequest& aRequest,
             HttpExchange& aExchange) -> asio::awaitable<void> {
    if (aRequest.Path() == kControlPath) {
      HttpResponse answer = HandleControl(aRequest);
      co_await aExchange.Respond(std::move(answer));
      co_return;
    }
    if (IsExempt(aRequest.Path())) {
      co_await handler(aRequest, aExchange);
      co_return;
    }
    co_await WaitWhileFrozen();
    if (mRefuse->On()) {
      HttpResponse refusal = Refusal();
      co_await aExchange.Respond(std::move(refusal));
      co_return;
    }
    Exchange exchange(*this, aExchange);
    co_await handler(aRequest, exchange);
  };
}

Millis Now() {
  static const SteadyClock kClock;
  return kClock.Now();
}

asio::awaitable<void> Sleep(Millis aSpan) {
  asio::steady_timer timer(co_await asio::this_coro::executor);
  timer.expires_after(std::chrono::milliseconds(aSpan.Count()));
  boost::system::error_code ignored;
  co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

}  // namespace rillwall::standin
