// SPDX-License-Identifier: MIT
// A message body that is collected as it arrives.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace gingerdyke::proxy
{
/// \brief Collects a body in blocks. Unlike a growing string it neither copies what it has nor reserves more
/// than one block ahead.
class body_buffer
{
  public:
	void append(std::string_view bytes);

	[[nodiscard]] std::size_t size() const noexcept { return size_; }
	[[nodiscard]] bool empty() const noexcept { return size_ == 0; }

	/// \brief Returns the body in one piece and leaves the buffer empty.
	[[nodiscard]] std::string take();

  private:
	std::vector<std::string> blocks_;
	std::size_t size_ = 0;
};
} // namespace gingerdyke::proxy
