// SPDX-License-Identifier: MIT
// JSON schema (draft 7) validation. A schema is compiled once and can validate many values.
#pragma once

#include <gingerdyke/base/json_source.hpp>
#include <memory>
#include <string>

namespace gingerdyke
{
/// \brief A compiled schema. Thread-safe.
class json_schema
{
  public:
	/// \brief Compiles a schema.
	/// \throws std::exception if the schema is invalid.
	explicit json_schema(const json& schema);

	/// \brief Parses and compiles a schema.
	explicit json_schema(const char* text) : json_schema(json::parse(text)) {}

	/// \brief Validates a value of a source.
	/// \param pointer JSON pointer to the value; empty for the whole source.
	/// \param output List to which findings are appended.
	void check(const json_source& source, const std::string& pointer, findings& output) const;

  private:
	struct impl;
	std::shared_ptr<const impl> impl_;
};
} // namespace gingerdyke
