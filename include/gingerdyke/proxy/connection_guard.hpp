// SPDX-License-Identifier: MIT
// Keeps an exception in the work of one connection from ending more than that connection.
#pragma once

#include <exception>
#include <gingerdyke/log/log.hpp>
#include <string>

namespace gingerdyke::proxy
{
/// \brief Runs work of one connection. An exception is logged and ends the connection.
/// \param kind Kind of connection, for the log.
/// \param request Id of the request that it carries, for the log; empty if none or not known.
/// \param work What to do.
/// \param end Ends the connection; called after an exception only.
template <typename Work, typename End>
void guard_connection(const char* kind, const std::string& request, const Work& work, const End& end)
{
	try
	{
		work();
		return;
	}
	catch (const std::exception& error)
	{
		log::write(log::level::error, "exception ends a connection",
			{{"connection", kind}, {"request", request}, {"error", error.what()}});
	}
	try
	{
		end();
	}
	catch (const std::exception& error)
	{
		log::write(log::level::error, "exception while a connection ends",
			{{"connection", kind}, {"request", request}, {"error", error.what()}});
	}
}
} // namespace gingerdyke::proxy
