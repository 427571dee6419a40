// SPDX-License-Identifier: MIT
// A message body that is collected as it arrives.
#include <algorithm>
#include <gingerdyke/proxy/body_buffer.hpp>
#include <utility>

namespace gingerdyke::proxy
{
namespace
{
constexpr std::size_t block_bytes = std::size_t{16} << 10U;
} // namespace

void body_buffer::append(std::string_view bytes)
{
	size_ += bytes.size();
	while (!bytes.empty())
	{
		if (blocks_.empty() || blocks_.back().size() == block_bytes)
		{
			blocks_.emplace_back();
			// Most bodies are far smaller than a block; further blocks are known to fill up.
			blocks_.back().reserve(blocks_.size() > 1 ? block_bytes : 0);
		}
		auto& block = blocks_.back();
		const auto part = bytes.substr(0, block_bytes - block.size());
		block += part;
		bytes.remove_prefix(part.size());
	}
}

std::string body_buffer::take()
{
	const auto total = std::exchange(size_, 0);
	auto blocks = std::exchange(blocks_, {});
	if (blocks.size() == 1)
	{
		return std::move(blocks.front());
	}
	std::string whole;
	whole.reserve(total);
	for (auto& block : blocks)
	{
		whole += block;
		block = {};
	}
	return whole;
}
} // namespace gingerdyke::proxy
