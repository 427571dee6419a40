// SPDX-License-Identifier: MIT
// A JSON schema (draft 7), compiled once and used for many values.
#pragma once

#include <gingerdyke/base/json_source.hpp>
#include <memory>
#include <string>

namespace gingerdyke
{
/// \brief A compiled schema; safe to use from any thread.
class json_schema
{
  public:
	/// \brief Compiles a schema.
	/// \throws std::exception where the schema itself is wrong.
	explicit json_schema(const json& schema);

	/// \brief Compiles a schema from its text.
	explicit json_schema(const char* text) : json_schema(json::parse(text)) {}

	/// \brief Checks a part of a source.
	/// \param pointer The part, as a JSON pointer.
	/// \param into Where findings are added, each with its place.
	void check(const json_source& source, const std::string& pointer, findings& into) const;

  private:
	struct impl;
	std::shared_ptr<const impl> impl_;
};
} // namespace gingerdyke
