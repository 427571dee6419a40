// SPDX-License-Identifier: MIT
// log4cplus appender that writes lines to a file descriptor without blocking.
#pragma once

#include <cstdint>
#include <log4cplus/appender.h>

namespace gingerdyke::log
{
/// \brief Writes each log event as one line. A line that can't be written without blocking is dropped and
/// counted; before the next line that can be written, a line with the number of dropped lines is written.
class line_appender : public log4cplus::Appender
{
  public:
	explicit line_appender(int descriptor) : descriptor_(descriptor) {}
	~line_appender() override;

	void close() override { closed = true; }

	/// \brief Number of dropped lines that have not been reported yet.
	[[nodiscard]] std::uint64_t dropped() const noexcept { return dropped_; }

  protected:
	void append(const log4cplus::spi::InternalLoggingEvent& event) override;

  private:
	[[nodiscard]] bool write_line(const std::string& line);

	int descriptor_;
	std::uint64_t dropped_ = 0;
};
} // namespace gingerdyke::log
