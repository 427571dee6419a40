// SPDX-License-Identifier: MIT
// Writing log lines never blocks, even if nothing reads them.
#include "../../src/log/line_appender.hpp"

#include <array>
#include <catch2/catch.hpp>
#include <log4cplus/loglevel.h>
#include <log4cplus/spi/loggingevent.h>
#include <string>
#include <unistd.h>

using gingerdyke::log::line_appender;

namespace
{
/// A pipe with the appender at its write end.
struct piped_appender
{
	piped_appender()
	{
		REQUIRE(::pipe(ends.data()) == 0);
		appender = log4cplus::helpers::SharedObjectPtr<line_appender>{new line_appender{ends[1]}};
	}

	~piped_appender()
	{
		::close(ends[0]);
		::close(ends[1]);
	}

	void write(const std::string& message)
	{
		const log4cplus::spi::InternalLoggingEvent event{
			"test", log4cplus::INFO_LOG_LEVEL, message, __FILE__, __LINE__};
		appender->doAppend(event);
	}

	/// Reads the current contents of the pipe.
	std::string read()
	{
		std::string all(1U << 20U, '\0');
		const auto size = ::read(ends[0], all.data(), all.size());
		all.resize(size > 0 ? static_cast<std::size_t>(size) : 0);
		return all;
	}

	std::array<int, 2> ends{};
	log4cplus::helpers::SharedObjectPtr<line_appender> appender;
};
} // namespace

TEST_CASE("a line is written unchanged", "[log]")
{
	piped_appender log;
	log.write("{\"what\":\"a\"}");
	CHECK(log.read() == "{\"what\":\"a\"}\n");
	CHECK(log.appender->dropped() == 0);
}

TEST_CASE("lines that would block are dropped, and their number is reported when the pipe is writable again",
	"[log]")
{
	piped_appender log;
	const std::string line(1000, 'x');
	// More bytes than any pipe buffers: a blocking write would never return.
	constexpr int lines = 5000;
	for (int i = 0; i < lines; ++i)
	{
		log.write(line);
	}
	const auto dropped = log.appender->dropped();
	CHECK(dropped > 0);
	static_cast<void>(log.read());
	log.write("after");
	const auto rest = log.read();
	CHECK(rest == "{\"level\":\"warn\",\"lines\":" + std::to_string(dropped) +
					  ",\"what\":\"log lines dropped\"}\nafter\n");
	CHECK(log.appender->dropped() == 0);
}

TEST_CASE("a line longer than an atomic pipe write is dropped and reported", "[log]")
{
	piped_appender log;
	log.write(std::string(100000, 'x'));
	log.write("next");
	CHECK(log.read() == "{\"level\":\"warn\",\"lines\":1,\"what\":\"log lines dropped\"}\nnext\n");
}
