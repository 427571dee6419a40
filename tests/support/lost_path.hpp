// SPDX-License-Identifier: MIT
// A VM that reaches its replicas by way of another VM only.
#pragma once

#include "proxy_world.hpp"

namespace gingerdyke::test
{
/// \brief Starts with a replica that can't be connected to, and another VM that forwards requests.
/// \param service Service of the replica.
/// \param other_vm Where the other VM takes requests.
inline void start_without_path(
	proxy_world& world, const std::string& service, const routing::address& other_vm)
{
	proxy::tcp::acceptor probe{world.context, {proxy::asio::ip::address_v4::loopback(), 0}};
	const routing::address unreachable{"127.0.0.1", probe.local_endpoint().port()};
	probe.close();
	world.start_at({{service, unreachable}});
	routing::forwarding_peer peer;
	peer.vm = vm_id{"other"};
	peer.at = other_vm;
	world.gateway().peers().set_peers({peer});
}

/// \brief The header line of a response that another VM passes on from a replica.
[[nodiscard]] inline std::string forwarding_result_line(proxy::forwarding_outcome outcome)
{
	const proxy::forwarding_result result{outcome, 1, replica_id{"r9"}};
	return std::string{proxy::forwarding_result_header} + ": " + proxy::write_result(result) + "\r\n";
}

/// \brief The header line of a request that another VM forwards.
[[nodiscard]] inline std::string forwarding_terms_line()
{
	const proxy::forwarding_terms terms{vm_id{"other"}, 0, 3, {}, 1};
	return std::string{proxy::forwarding_header} + ": " + proxy::write_terms(terms) + "\r\n";
}
} // namespace gingerdyke::test
