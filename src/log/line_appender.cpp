// SPDX-License-Identifier: MIT
// Writes lines to a descriptor without ever waiting for its reader.
#include "line_appender.hpp"

#include <climits>
#include <log4cplus/spi/loggingevent.h>
#include <poll.h>
#include <unistd.h>

namespace gingerdyke::log
{
namespace
{
/// A pipe that can be written to takes this many bytes at once; a longer line might wait.
constexpr std::size_t longest_line = PIPE_BUF;
} // namespace

line_appender::~line_appender()
{
	destructorImpl();
}

void line_appender::append(const log4cplus::spi::InternalLoggingEvent& event)
{
	if (dropped_ > 0)
	{
		const auto told = R"({"level":"warn","lines":)" + std::to_string(dropped_) +
						  R"(,"what":"log lines dropped"})" + "\n";
		if (!write_line(told))
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
	pollfd ready{descriptor_, POLLOUT, 0};
	const bool has_room = ::poll(&ready, 1, 0) == 1 && (ready.revents & POLLOUT) != 0;
	return has_room && line.size() <= longest_line &&
		   ::write(descriptor_, line.data(), line.size()) == static_cast<ssize_t>(line.size());
}
} // namespace gingerdyke::log
