// SPDX-License-Identifier: MIT
// The stand-ins: small programs that take the place of what the system meets, in tests and in the demo.
#pragma once

#include <gingerdyke/cli/options.hpp>
#include <gingerdyke/http/listener.hpp>

namespace gingerdyke::standin
{
/// \brief Adds a stand-in's routes to a server; what it keeps lives as long as the process.
void add_table_service(httplib::Server& server, const cli::parsed_options& options);
void add_vm_list(httplib::Server& server, const cli::parsed_options& options);
void add_engine(httplib::Server& server, const cli::parsed_options& options);
void add_service(httplib::Server& server, const cli::parsed_options& options);
void add_rating_service(httplib::Server& server, const cli::parsed_options& options);
} // namespace gingerdyke::standin
