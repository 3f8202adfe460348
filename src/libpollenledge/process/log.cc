#include "pollenledge/process/log.h"

#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>
#include <log4cplus/spi/loggingevent.h>

#include <chrono>
#include <memory>
#include <nlohmann/json.hpp>

namespace pollenledge {
namespace {

using Json = nlohmann::ordered_json;

// log4cplus has no JSON layout. The message already is a JSON object's text
// without its opening brace; the layout puts time and level before it.
class JsonLayout : public log4cplus::Layout {
 public:
  void formatAndAppend(
      log4cplus::tostream& output,
      const log4cplus::spi::InternalLoggingEvent& event) override {
    const auto micros = std::chrono::duration_cast<std::chrono::microseconds>(
        event.getTimestamp().time_since_epoch());
    output << "{\"time_us\":" << micros.count() << ",\"level\":\""
           << log4cplus::getLogLevelManager().toString(event.getLogLevel())
           << "\"," << event.getMessage() << '\n';
  }
};

struct Identity {
  NodeId node;
  std::string domain;
};

Identity& ProcessIdentity() {
  static Identity identity;
  return identity;
}

log4cplus::LogLevel ToLog4cplus(LogLevel level) {
  switch (level) {
    case LogLevel::kDebug:
      return log4cplus::DEBUG_LOG_LEVEL;
    case LogLevel::kInfo:
      return log4cplus::INFO_LOG_LEVEL;
    case LogLevel::kWarn:
      return log4cplus::WARN_LOG_LEVEL;
    case LogLevel::kError:
      break;
  }
  return log4cplus::ERROR_LOG_LEVEL;
}

}  // namespace

void StartLogging(const std::string& level, const NodeId& node,
                  const std::string& domain) {
  static log4cplus::Initializer initializer;
  ProcessIdentity() = {node, domain};
  log4cplus::SharedAppenderPtr appender(
      new log4cplus::ConsoleAppender(/*logToStdErr=*/true,
                                     /*immediateFlush=*/true));
  appender->setLayout(std::make_unique<JsonLayout>());
  log4cplus::Logger root = log4cplus::Logger::getRoot();
  root.removeAllAppenders();
  root.addAppender(appender);
  root.setLogLevel(level == "debug"  ? log4cplus::DEBUG_LOG_LEVEL
                   : level == "info" ? log4cplus::INFO_LOG_LEVEL
                   : level == "warn" ? log4cplus::WARN_LOG_LEVEL
                                     : log4cplus::ERROR_LOG_LEVEL);
}

void Log(LogLevel level, const std::string& event,
         const std::vector<LogField>& fields) {
  static const log4cplus::Logger logger = log4cplus::Logger::getRoot();
  const log4cplus::LogLevel mapped = ToLog4cplus(level);
  if (!logger.isEnabledFor(mapped)) return;
  const Identity& identity = ProcessIdentity();
  Json json = {{"event", event},
               {"node", identity.node.name},
               {"incarnation", identity.node.incarnation},
               {"domain", identity.domain}};
  for (const LogField& field : fields) json[field.name] = field.value;
  const std::string text =
      json.dump(-1, ' ', false, Json::error_handler_t::replace);
  logger.log(mapped, text.substr(1));
}

}  // namespace pollenledge
