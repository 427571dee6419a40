// SPDX-License-Identifier: MIT
// Answers to callers and operators: errors in the form that client libraries of the chat API know.
#pragma once

#include <gingerdyke/base/finding.hpp>
#include <gingerdyke/base/json_source.hpp>
#include <gingerdyke/node/request.hpp>
#include <httplib.h>
#include <string>

namespace gingerdyke::http
{
/// \brief An error's body, `{"error": {"message", "type", "code"}}`.
[[nodiscard]] json error_body(int status, const std::string& code, const std::string& message);

/// \brief Answers with an error.
void set_error(httplib::Response& response, int status, const std::string& code, const std::string& message);

/// \brief Answers that the input is wrong, and where.
void set_findings(httplib::Response& response, int status, const std::string& code, const findings& wrong);

/// \brief Answers with a refusal of the node's, with its headers.
void set_refusal(httplib::Response& response, const node::refuse_order& refusal);

/// \brief Sets the headers that every answer to a request carries.
void set_facts(httplib::Response& response, const request_id& id, const node::request_facts& facts);

/// \brief Answers with JSON.
void set_json(httplib::Response& response, int status, const json& body);

/// \brief The key of `Authorization: Bearer KEY`, as its SHA-256; empty where there is none.
[[nodiscard]] std::string bearer_digest(const httplib::Request& request);
} // namespace gingerdyke::http
