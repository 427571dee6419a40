// SPDX-License-Identifier: MIT
// What two VMs say to each other about a forwarded request.
#include <array>
#include <charconv>
#include <gingerdyke/proxy/forwarding_terms.hpp>

namespace gingerdyke::proxy
{
namespace
{
constexpr char separator = ';';

struct named_outcome
{
	forwarding_outcome outcome;
	std::string_view name;
};

constexpr std::array outcomes{named_outcome{forwarding_outcome::answered, "answered"},
	named_outcome{forwarding_outcome::refused, "refused"},
	named_outcome{forwarding_outcome::unavailable, "unavailable"},
	named_outcome{forwarding_outcome::failed, "failed"}};

std::string_view name_of(forwarding_outcome outcome)
{
	for (const auto& known : outcomes)
	{
		if (known.outcome == outcome)
		{
			return known.name;
		}
	}
	return "failed";
}

/// Takes the text up to the next separator.
std::string_view take_field(std::string_view& rest)
{
	const auto end = rest.find(separator);
	const auto field = rest.substr(0, end);
	rest.remove_prefix(end == std::string_view::npos ? rest.size() : end + 1);
	return field;
}

template <typename Number>
bool take_number(std::string_view& rest, Number& number)
{
	const auto field = take_field(rest);
	const auto read = std::from_chars(field.data(), field.data() + field.size(), number);
	return read.ec == std::errc{} && read.ptr == field.data() + field.size();
}
} // namespace

routing::caller_limits forwarding_limits(routing::caller_limits callers)
{
	constexpr std::size_t terms_bytes = 1024;
	constexpr duration idle_timeout = std::chrono::minutes{1};
	callers.header_bytes += terms_bytes;
	callers.idle_timeout = idle_timeout;
	return callers;
}

std::string write_terms(const forwarding_terms& terms)
{
	return std::to_string(terms.attempts_made) + separator + std::to_string(terms.max_attempts) + separator +
		   std::to_string(terms.model_step.index) + separator +
		   std::to_string(terms.model_step.may_escalate ? 1 : 0) + separator +
		   std::to_string(terms.config_version) + separator + terms.origin.str();
}

std::optional<forwarding_terms> read_terms(std::string_view value)
{
	forwarding_terms terms;
	unsigned may_escalate = 0;
	const bool is_valid = take_number(value, terms.attempts_made) && take_number(value, terms.max_attempts) &&
						  take_number(value, terms.model_step.index) && take_number(value, may_escalate) &&
						  take_number(value, terms.config_version);
	if (!is_valid || value.empty() || terms.attempts_made >= terms.max_attempts)
	{
		return std::nullopt;
	}
	terms.model_step.may_escalate = may_escalate != 0;
	terms.origin = vm_id{std::string{value}};
	return terms;
}

std::string write_result(const forwarding_result& result)
{
	return std::string{name_of(result.outcome)} + separator + std::to_string(result.attempts_made) +
		   separator + result.replica.str();
}

std::optional<forwarding_result> read_result(std::string_view value)
{
	const auto name = take_field(value);
	forwarding_result result;
	for (const auto& known : outcomes)
	{
		if (known.name == name)
		{
			result.outcome = known.outcome;
			if (!take_number(value, result.attempts_made))
			{
				return std::nullopt;
			}
			result.replica = replica_id{std::string{value}};
			return result;
		}
	}
	return std::nullopt;
}
} // namespace gingerdyke::proxy
