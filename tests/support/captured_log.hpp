// SPDX-License-Identifier: MIT
// Captures the log lines of the process under test.
#pragma once

#include <algorithm>
#include <cstdio>
#include <gingerdyke/log/log.hpp>
#include <iostream>
#include <log4cplus/logger.h>
#include <string>
#include <unistd.h>

namespace gingerdyke::test
{
/// \brief What is logged while it exists, instead of what goes to standard output.
class captured_log
{
  public:
	captured_log() : file_(std::tmpfile()), standard_output_(dup(STDOUT_FILENO))
	{
		std::cout.flush();
		dup2(fileno(file_), STDOUT_FILENO);
		log::start("info");
	}
	~captured_log()
	{
		auto logger = log4cplus::Logger::getInstance("gingerdyke");
		logger.removeAllAppenders();
		logger.setLogLevel(log4cplus::OFF_LOG_LEVEL);
		std::cout.flush();
		dup2(standard_output_, STDOUT_FILENO);
		close(standard_output_);
		static_cast<void>(std::fclose(file_));
	}
	captured_log(const captured_log&) = delete;
	captured_log& operator=(const captured_log&) = delete;
	captured_log(captured_log&&) = delete;
	captured_log& operator=(captured_log&&) = delete;

	[[nodiscard]] std::string text() const
	{
		constexpr std::size_t most = 1U << 20U;
		std::string all(most, '\0');
		const auto size = pread(fileno(file_), all.data(), all.size(), 0);
		return all.substr(0, static_cast<std::size_t>(std::max<ssize_t>(0, size)));
	}

  private:
	std::FILE* file_;
	int standard_output_;
};
} // namespace gingerdyke::test
