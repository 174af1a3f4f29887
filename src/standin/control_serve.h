/// \file
/// Running one stand-in process: options, the server, signals, JSON answers.

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

/// Options that all serving stand-ins share.
struct ServeOptions {
  std::string mListen = "127.0.0.1:0";
  std::vector<std::string> mSet;  ///< "name=value" of faults at the start
};

/// Adds --listen and --set to a subcommand.
void AddServeOptions(CLI::App& aVerb, ServeOptions& aOptions);

/// Serves until SIGTERM or SIGINT on one thread, so that handlers need no lock
/// between two waits. Prints "listening ip:port" once it accepts.
/// \param aOnStart called with the context before it runs, for background work
/// \throws CLI::RuntimeError if the address cannot be taken
void Serve(const ServeOptions& aOptions, Control& aControl,
           HttpHandler aHandler, HttpLimits aLimits = {},
           std::function<void(asio::io_context&)> aOnStart = nullptr);

/// \return the body as an object, or BadRequest
Result<json::object> ParseObject(std::string_view aBody);
/// \return a member's text, or aDefault if absent or of another type
std::string TextOf(const json::object& aObject, std::string_view aName,
                   std::string_view aDefault = "");
/// \return a member's number, also if it is written as a decimal string
int64_t NumberOf(const json::object& aObject, std::string_view aName,
                 int64_t aDefault = 0);
/// \return an answer with a JSON value
HttpResponse JsonAnswer(int aStatus, const json::value& aValue);
/// \return `{"error":{"kind","message"}}`
HttpResponse ErrorAnswer(int aStatus, std::string_view aKind,
                         std::string_view aMessage);

}  // namespace rillwall::standin
