#include "comfreyvane/log/log_session.h"

#include <log4cplus/initializer.h>
#include <log4cplus/logger.h>

#include <atomic>
#include <cassert>
#include <memory>

#include "comfreyvane/log/json_layout.h"
#include "comfreyvane/log/levels.h"
#include "comfreyvane/log/stream_appender.h"

namespace comfreyvane {
namespace {

std::atomic<bool> session_open{false};

}  // namespace

log4cplus::LogLevel Log4cplusLevel(LogLevel level) {
  switch (level) {
    case LogLevel::kTrace:
      return log4cplus::TRACE_LOG_LEVEL;
    case LogLevel::kDebug:
      return log4cplus::DEBUG_LOG_LEVEL;
    case LogLevel::kInfo:
      return log4cplus::INFO_LOG_LEVEL;
    case LogLevel::kWarning:
      return log4cplus::WARN_LOG_LEVEL;
    case LogLevel::kError:
      return log4cplus::ERROR_LOG_LEVEL;
  }
  return log4cplus::ERROR_LOG_LEVEL;
}

bool IsSessionOpen() {
  return session_open.load(std::memory_order_acquire);
}

LogSession::LogSession(LogLevel level, std::ostream& out) {
  assert(!IsSessionOpen());
  static log4cplus::Initializer initializer;
  log4cplus::SharedAppenderPtr appender(new StreamAppender(out));
  appender->setLayout(std::make_unique<JsonLayout>());
  log4cplus::Logger root = log4cplus::Logger::getRoot();
  root.removeAllAppenders();
  root.addAppender(appender);
  root.setLogLevel(Log4cplusLevel(level));
  session_open.store(true, std::memory_order_release);
}

LogSession::~LogSession() {
  session_open.store(false, std::memory_order_release);
  log4cplus::Logger::getRoot().removeAllAppenders();
}

}  // namespace comfreyvane
