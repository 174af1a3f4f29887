/// \file
/// Common parts of the stand-in processes: options, HTTP server, signal
/// handling and JSON messages.

#pragma once

#include <CLI/CLI.hpp>
#include <boost/json.hpp>
#include <functional>
#include <string>
#include <vector>

#include "control.h"
#include "rillwall/http.h"

namespace rillwall::standin {

namespace json = boost::json;

/// Options shared by all stand-ins that serve HTTP.
struct ServeOptions {
  std::string mListen = "127.0.0.1:0";  ///< "ip:port"; port 0: any free one
  std::vector<std::string> mSet;  ///< initial values of faults, "name=value"
};

/// Adds --listen and --set to a subcommand.
void AddServeOptions(CLI::App& aCommand, ServeOptions& aOptions);

/// Serves until SIGTERM or SIGINT. Everything runs on one thread, so handlers
/// need no locks between two suspension points. Prints "listening ip:port" once
/// connections are accepted.
/// \param aOnStart called with the context before it runs, to start background
/// coroutines
/// \throws CLI::RuntimeError if an initial value is invalid or the address
/// cannot be bound
void Serve(const ServeOptions& aOptions, Control& aControl,
           HttpHandler aHandler, HttpLimits aLimits = {},
           std::function<void(asio::io_context&)> aOnStart = nullptr);

/// \return the body as a JSON object, or BadRequest
Result<json::object> ParseObject(std::string_view aBody);
/// \return the string in a member, or aDefault if it is absent or not a string
std::string TextOf(const json::object& aObject, std::string_view aName,
                   std::string_view aDefault = "");
/// \return the number in a member, which may also be written as a decimal
/// string; aDefault if it is absent or of another type
int64_t NumberOf(const json::object& aObject, std::string_view aName,
                 int64_t aDefault = 0);
/// \return a response with a JSON body
HttpResponse MakeJsonResponse(int aStatus, const json::value& aValue);
/// \return a response with the body `{"error":{"kind","message"}}`
HttpResponse MakeErrorResponse(int aStatus, std::string_view aKind,
                               std::string_view aMessage);

}  // namespace rillwall::standin
