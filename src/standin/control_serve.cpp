#include "control_serve.h"

#include <boost/asio/signal_set.hpp>
#include <charconv>
#include <csignal>
#include <iostream>

namespace rillwall::standin {

namespace {

/// Prints an error that prevents the start, and ends the process.
void ExitWithError(const Error& aError) {
  std::cerr << "standin: " << aError.Message() << "\n";
  throw CLI::RuntimeError(1);
}

}  // namespace

void AddServeOptions(CLI::App& aCommand, ServeOptions& aOptions) {
  aCommand.add_option("--listen", aOptions.mListen,
                      "ip:port to listen on; port 0 selects a free one");
  aCommand.add_option("--set", aOptions.mSet,
                      "Initial value of a fault or setting, name=number");
}

void Serve(const ServeOptions& aOptions, Control& aControl,
           HttpHandler aHandler, HttpLimits aLimits,
           std::function<void(asio::io_context&)> aOnStart) {
  for (const std::string& assignment : aOptions.mSet) {
    const Result<void> applied = aControl.ApplyDefault(assignment);
    if (!applied.has_value()) {
      ExitWithError(applied.error());
    }
  }
  const Result<Endpoint> wanted = Endpoint::Parse(aOptions.mListen);
  if (!wanted.has_value()) {
    ExitWithError(wanted.error());
  }
  asio::io_context context(1);
  HttpServer server(context, aLimits, aControl.Wrap(std::move(aHandler)));
  const Result<Endpoint> taken = server.Listen(wanted.value());
  if (!taken.has_value()) {
    ExitWithError(taken.error());
  }
  std::cout << "listening " << taken.value().Text() << std::endl;
  asio::signal_set signals(context, SIGTERM, SIGINT);
  signals.async_wait([&](boost::system::error_code, int) {
    server.Stop();
    context.stop();
  });
  if (aOnStart) {
    aOnStart(context);
  }
  context.run();
}

Result<json::object> ParseObject(std::string_view aBody) {
  boost::system::error_code failure;
  json::value parsed = json::parse(aBody, failure);
  if (failure || !parsed.is_object()) {
    return Error(ErrorKind::BadRequest, "The body must be a JSON object.");
  }
  return std::move(parsed.get_object());
}

std::string TextOf(const json::object& aObject, std::string_view aName,
                   std::string_view aDefault) {
  const json::value* value = aObject.if_contains(aName);
  if (!value || !value->is_string()) {
    return std::string(aDefault);
  }
  return std::string(value->get_string());
}

int64_t NumberOf(const json::object& aObject, std::string_view aName,
                 int64_t aDefault) {
  const json::value* value = aObject.if_contains(aName);
  if (!value) {
    return aDefault;
  }
  if (value->is_number()) {
    return static_cast<int64_t>(value->to_number<double>());
  }
  if (!value->is_string()) {
    return aDefault;
  }
  int64_t number = aDefault;
  const json::string& text = value->get_string();
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

HttpResponse MakeJsonResponse(int aStatus, const json::value& aValue) {
  return HttpResponse::Json(aStatus, json::serialize(aValue));
}

HttpResponse MakeErrorResponse(int aStatus, std::string_view aKind,
                               std::string_view aMessage) {
  json::object particulars;
  particulars["kind"] = aKind;
  particulars["message"] = aMessage;
  json::object answer;
  answer["error"] = std::move(particulars);
  return MakeJsonResponse(aStatus, answer);
}

}  // namespace rillwall::standin
