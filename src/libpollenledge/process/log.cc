#include "pollenledge/process/log.h"

#include <log4cplus/appender.h>
#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>
#include <log4cplus/spi/loggingevent.h>
#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <memory>
#include <nlohmann/json.hpp>
#include <sstream>

namespace pollenledge {
namespace {

using Json = nlohmann::ordered_json;

// log4cplus has no JSON layout. The message is the text of a JSON object
// without its opening brace; this layout prepends the brace, the time and the
// level.
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

// Buffers lines until standard output accepts them. A pipe that poll(2) reports
// as writable accepts `kMaxWriteBytes` without blocking, so no write blocks.
class NonBlockingAppender : public log4cplus::Appender {
 public:
  ~NonBlockingAppender() override { destructorImpl(); }

  void close() override { closed = true; }

  void Flush() {
    if (dropped_ > 0 && buffer_.size() < kMaxBufferedBytes / 2) {
      buffer_ +=
          "{\"level\":\"WARN\",\"event\":\"log_lines_dropped\","
          "\"count\":\"" +
          std::to_string(dropped_) + "\"}\n";
      dropped_ = 0;
    }
    std::size_t written = 0;
    while (written < buffer_.size() && IsWritable()) {
      const std::size_t size =
          std::min(kMaxWriteBytes, buffer_.size() - written);
      const ssize_t result =
          write(STDOUT_FILENO, buffer_.data() + written, size);
      if (result <= 0) break;
      written += static_cast<std::size_t>(result);
    }
    buffer_.erase(0, written);
  }

 protected:
  void append(const log4cplus::spi::InternalLoggingEvent& event) override {
    if (buffer_.size() > kMaxBufferedBytes) {
      ++dropped_;
      return;
    }
    std::ostringstream line;
    layout->formatAndAppend(line, event);
    buffer_ += line.str();
    if (buffer_.size() >= kMaxWriteBytes) Flush();
  }

 private:
  static constexpr std::size_t kMaxBufferedBytes = std::size_t{256} * 1024;
  static constexpr std::size_t kMaxWriteBytes = 4096;  // PIPE_BUF on Linux.

  static bool IsWritable() {
    pollfd output{STDOUT_FILENO, POLLOUT, 0};
    return poll(&output, 1, 0) > 0 && (output.revents & POLLOUT) != 0;
  }

  std::string buffer_;
  std::size_t dropped_ = 0;
};

// Null unless `StartNonBlockingLogging` was called.
NonBlockingAppender*& ProcessAppender() {
  static NonBlockingAppender* appender = nullptr;
  return appender;
}

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

namespace {

void StartLoggingTo(const log4cplus::SharedAppenderPtr& appender,
                    const std::string& level, const NodeId& node,
                    const std::string& domain) {
  ProcessIdentity() = {node, domain};
  appender->setLayout(std::make_unique<JsonLayout>());
  log4cplus::Logger root = log4cplus::Logger::getRoot();
  root.removeAllAppenders();
  root.addAppender(appender);
  root.setLogLevel(level == "debug"  ? log4cplus::DEBUG_LOG_LEVEL
                   : level == "info" ? log4cplus::INFO_LOG_LEVEL
                   : level == "warn" ? log4cplus::WARN_LOG_LEVEL
                                     : log4cplus::ERROR_LOG_LEVEL);
}

void InitializeOnce() { static log4cplus::Initializer initializer; }

}  // namespace

void StartLogging(const std::string& level, const NodeId& node,
                  const std::string& domain) {
  InitializeOnce();
  StartLoggingTo(log4cplus::SharedAppenderPtr(new log4cplus::ConsoleAppender(
                     /*logToStdErr=*/true, /*immediateFlush=*/true)),
                 level, node, domain);
}

void StartNonBlockingLogging(const std::string& level, const NodeId& node,
                             const std::string& domain) {
  InitializeOnce();
  auto* appender = new NonBlockingAppender;
  ProcessAppender() = appender;
  StartLoggingTo(log4cplus::SharedAppenderPtr(appender), level, node, domain);
}

void FlushLog() {
  if (ProcessAppender() != nullptr) ProcessAppender()->Flush();
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
