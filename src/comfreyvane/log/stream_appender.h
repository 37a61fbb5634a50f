/// @file
/// Appender to a stream.
#ifndef COMFREYVANE_LOG_STREAM_APPENDER_H_
#define COMFREYVANE_LOG_STREAM_APPENDER_H_

#include <log4cplus/appender.h>

#include <iosfwd>

namespace comfreyvane {

/// Writes each line to a stream and flushes it. log4cplus serialises calls.
class StreamAppender : public log4cplus::Appender {
 public:
  /// @param out must outlive the appender.
  explicit StreamAppender(std::ostream& out) : out_(out) {}
  ~StreamAppender() override { destructorImpl(); }

  void close() override { closed = true; }

 protected:
  void append(const log4cplus::spi::InternalLoggingEvent& event) override;

 private:
  std::ostream& out_;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_LOG_STREAM_APPENDER_H_
