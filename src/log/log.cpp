// SPDX-License-Identifier: MIT
// Structured logging with log4cplus.
#include "line_appender.hpp"

#include <chrono>
#include <gingerdyke/log/log.hpp>
#include <log4cplus/initializer.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>
#include <memory>
#include <unistd.h>

namespace gingerdyke::log
{
namespace
{
std::unique_ptr<log4cplus::Initializer>& log4cplus_initializer()
{
	static std::unique_ptr<log4cplus::Initializer> instance;
	return instance;
}

log4cplus::LogLevel parse_level(const std::string& name)
{
	return log4cplus::getLogLevelManager().fromString(LOG4CPLUS_STRING_TO_TSTRING(name));
}

std::string upper_case(std::string text)
{
	for (auto& c : text)
	{
		c = static_cast<char>(std::toupper(static_cast<unsigned char>(c)));
	}
	return text;
}

double unix_seconds()
{
	const auto now = std::chrono::system_clock::now().time_since_epoch();
	return std::chrono::duration<double>(now).count();
}
} // namespace

void start(const std::string& min_level)
{
	log4cplus_initializer() = std::make_unique<log4cplus::Initializer>();
	const log4cplus::SharedAppenderPtr appender{new line_appender{STDOUT_FILENO}};
	auto logger = log4cplus::Logger::getInstance(LOG4CPLUS_TEXT("gingerdyke"));
	logger.addAppender(appender);
	logger.setLogLevel(parse_level(upper_case(min_level)));
	logger.setAdditivity(false);
}

void stop()
{
	log4cplus_initializer().reset();
}

void write(level level, const std::string& message, json fields)
{
	if (!log4cplus_initializer())
	{
		return;
	}
	constexpr std::array levels{log4cplus::DEBUG_LOG_LEVEL, log4cplus::INFO_LOG_LEVEL,
		log4cplus::WARN_LOG_LEVEL, log4cplus::ERROR_LOG_LEVEL};
	constexpr std::array names{"debug", "info", "warn", "error"};
	const auto index = static_cast<std::size_t>(level);
	auto logger = log4cplus::Logger::getInstance(LOG4CPLUS_TEXT("gingerdyke"));
	if (!logger.isEnabledFor(levels.at(index)))
	{
		return;
	}
	fields["time"] = unix_seconds();
	fields["level"] = names.at(index);
	fields["what"] = message;
	const auto line = fields.dump(-1, ' ', false, json::error_handler_t::replace);
	logger.forcedLog(levels.at(index), LOG4CPLUS_STRING_TO_TSTRING(line));
}
} // namespace gingerdyke::log
