// SPDX-License-Identifier: MIT
// log4cplus appender that writes lines to a file descriptor without blocking.
#include "line_appender.hpp"

#include <climits>
#include <log4cplus/spi/loggingevent.h>
#include <poll.h>
#include <unistd.h>

namespace gingerdyke::log
{
namespace
{
/// Writes to a pipe of up to PIPE_BUF bytes are atomic, and poll() reports POLLOUT only if they don't block;
/// a longer line might block.
constexpr std::size_t max_line_bytes = PIPE_BUF;
} // namespace

line_appender::~line_appender()
{
	destructorImpl();
}

void line_appender::append(const log4cplus::spi::InternalLoggingEvent& event)
{
	if (dropped_ > 0)
	{
		const auto report = R"({"level":"warn","lines":)" + std::to_string(dropped_) +
							R"(,"what":"log lines dropped"})" + "\n";
		if (!write_line(report))
		{
			++dropped_;
			return;
		}
		dropped_ = 0;
	}
	if (!write_line(event.getMessage() + "\n"))
	{
		++dropped_;
	}
}

bool line_appender::write_line(const std::string& line)
{
	pollfd poll_entry{descriptor_, POLLOUT, 0};
	const bool is_writable = ::poll(&poll_entry, 1, 0) == 1 && (poll_entry.revents & POLLOUT) != 0;
	return is_writable && line.size() <= max_line_bytes &&
		   ::write(descriptor_, line.data(), line.size()) == static_cast<ssize_t>(line.size());
}
} // namespace gingerdyke::log
