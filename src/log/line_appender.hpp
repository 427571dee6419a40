// SPDX-License-Identifier: MIT
// Writes lines to a descriptor without ever waiting for its reader.
#pragma once

#include <cstdint>
#include <log4cplus/appender.h>

namespace gingerdyke::log
{
/// \brief An appender for log4cplus. A line that can't be written at once is dropped and counted; the next
/// line that can be written is preceded by one that tells how many.
class line_appender : public log4cplus::Appender
{
  public:
	explicit line_appender(int descriptor) : descriptor_(descriptor) {}
	~line_appender() override;

	void close() override { closed = true; }

	/// \brief Lines dropped and not told yet.
	[[nodiscard]] std::uint64_t dropped() const noexcept { return dropped_; }

  protected:
	void append(const log4cplus::spi::InternalLoggingEvent& event) override;

  private:
	[[nodiscard]] bool write_line(const std::string& line);

	int descriptor_;
	std::uint64_t dropped_ = 0;
};
} // namespace gingerdyke::log
