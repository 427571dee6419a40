// SPDX-License-Identifier: MIT
// JSON text that remembers on which line each value stands.
#pragma once

#include <gingerdyke/base/finding.hpp>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

namespace gingerdyke
{
using json = nlohmann::json;

/// \brief A parsed JSON text with the line of every value.
class json_source
{
  public:
	/// \brief Parses a text.
	/// \param name What findings call the source.
	/// \param text The JSON text.
	/// \returns The parsed source, or one finding with the line where parsing stopped.
	[[nodiscard]] static checked<json_source> parse(std::string name, std::string_view text);

	/// \brief Reads and parses a file.
	[[nodiscard]] static checked<json_source> load(const std::string& path);

	/// \brief Wraps a value that has no text, such as one built by a program.
	[[nodiscard]] static json_source of_value(std::string name, json value);

	[[nodiscard]] const json& value() const noexcept { return value_; }

	[[nodiscard]] const std::string& name() const noexcept { return name_; }

	/// \brief The place of a value, with the line of its nearest known parent.
	[[nodiscard]] source_region at(const std::string& pointer) const;

  private:
	std::string name_;
	json value_;
	std::map<std::string, unsigned> lines_;
};

/// \brief Escapes one step of a JSON pointer.
[[nodiscard]] std::string pointer_step(std::string_view key);
} // namespace gingerdyke
