// SPDX-License-Identifier: MIT
// Body type of Beast's parsers for bodies that are handed on as they arrive.
#pragma once

#include <gingerdyke/proxy/asio.hpp>
#include <gingerdyke/proxy/body_buffer.hpp>

namespace gingerdyke::proxy
{
/// \brief Like Beast's `string_body`, but nothing is reserved by the length that the other side names.
/// \tparam Buffer Collects the bytes; has `append`.
template <typename Buffer>
struct arriving_body
{
	using value_type = Buffer;

	class reader
	{
	  public:
		template <bool IsRequest, typename Fields>
		reader(beast::http::header<IsRequest, Fields>&, value_type& body) : body_(body)
		{
		}

		void init(const boost::optional<std::uint64_t>&, error_code& error) { error = {}; }

		template <typename Buffers>
		std::size_t put(const Buffers& buffers, error_code& error)
		{
			error = {};
			std::size_t size = 0;
			for (const auto buffer : beast::buffers_range_ref(buffers))
			{
				body_.append(std::string_view{static_cast<const char*>(buffer.data()), buffer.size()});
				size += buffer.size();
			}
			return size;
		}

		void finish(error_code& error) { error = {}; }

	  private:
		value_type& body_;
	};
};
} // namespace gingerdyke::proxy
