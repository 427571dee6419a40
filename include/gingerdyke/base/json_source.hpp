// SPDX-License-Identifier: MIT
// Parsed JSON that knows the line of each value in its source text.
#pragma once

#include <gingerdyke/base/finding.hpp>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

namespace gingerdyke
{
using json = nlohmann::json;

/// \brief A parsed JSON document with the line of every value.
class json_source
{
  public:
	/// \brief Parses JSON text.
	/// \param name Name of the source in findings.
	/// \returns The parsed source, or one finding with the line where parsing stopped.
	[[nodiscard]] static checked<json_source> parse(std::string name, std::string_view text);

	/// \brief Reads and parses a file.
	[[nodiscard]] static checked<json_source> load(const std::string& path);

	/// \brief Wraps a value that was not parsed from text; its findings have no line.
	[[nodiscard]] static json_source from_value(std::string name, json value);

	[[nodiscard]] const json& value() const noexcept { return value_; }

	[[nodiscard]] const std::string& name() const noexcept { return name_; }

	/// \brief Location of a value. If the value does not exist, the line is that of its nearest existing
	/// ancestor.
	[[nodiscard]] source_location location_of(const std::string& pointer) const;

  private:
	std::string name_;
	json value_;
	std::map<std::string, unsigned> lines_;
};

/// \brief Escapes a reference token of a JSON pointer (RFC 6901).
[[nodiscard]] std::string escape_pointer_token(std::string_view key);
} // namespace gingerdyke
