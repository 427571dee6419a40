// SPDX-License-Identifier: MIT
// Handling of a request: admission, before it is sent to any replica.
#include <algorithm>
#include <charconv>
#include <gingerdyke/base/crypto.hpp>
#include <gingerdyke/log/log.hpp>
#include <gingerdyke/proxy/exchange.hpp>
#include <utility>

namespace gingerdyke::proxy
{
namespace
{
constexpr int bad_request = 400;
constexpr int unauthorized = 401;
constexpr int not_found = 404;
constexpr int unavailable = 503;

/// Hash of requests that a new version gets whatever its share of sessions is.
constexpr std::uint64_t trial_session_hash = 0;

static_assert(limits::rank_count == 2 * routing::priority_count, "admission tells all priorities apart");

/// The API key in an `Authorization` header; none if the header has another scheme.
std::optional<std::string> parse_key(const std::string* value, const std::string& scheme)
{
	if (value == nullptr || value->size() <= scheme.size() + 1 || !value->starts_with(scheme) ||
		(*value)[scheme.size()] != ' ')
	{
		return std::nullopt;
	}
	return value->substr(scheme.size() + 1);
}

/// The model that a forwarding VM names. Its configuration may have more models on the route: one beyond
/// them stands for the largest.
routing::size_step known_step(const routing::route& on, routing::size_step named)
{
	if (named.index >= on.models.size())
	{
		return {on.models.empty() ? 0 : on.models.size() - 1, false};
	}
	return named;
}
} // namespace

void exchange::start()
{
	if (shared_.ready())
	{
		begin();
		return;
	}
	await_ready();
}

void exchange::await_ready()
{
	shared_.when_ready([self = shared_from_this()] { self->begin(); });
	deadline_timer_.expires_after(shared_.tuning().max_ready_wait);
	deadline_timer_.async_wait(
		[self = shared_from_this()](const error_code& error)
		{
			if (!error)
			{
				self->begin();
			}
		});
}

void exchange::begin()
{
	if (finished_ || std::exchange(started_, true))
	{
		return;
	}
	if (origin_)
	{
		shared_.begin_forwarded();
	}
	if (!admit())
	{
		return;
	}
	if (origin_)
	{
		attempt_count_ = origin_->attempts_made;
		model_step_ = known_step(*route_, origin_->model_step);
	}
	if (!has_room())
	{
		return;
	}
	if (attempt_count_ == 0)
	{
		shared_.budget(service_id_).record_request(arrived_);
	}
	deadline_timer_.expires_after(std::max(time_left(), duration{0}));
	deadline_timer_.async_wait(
		[self = shared_from_this()](const error_code& error)
		{
			if (!error && !self->finished_)
			{
				self->on_deadline();
			}
		});
	dispatch();
}

bool exchange::admit()
{
	const auto& names = shared_.names();
	catalog_ = shared_.catalog();
	if (const auto* id = request_.find(names.request_id))
	{
		id_ = *id;
	}
	if (!shared_.ready())
	{
		refuse_here("no configuration yet");
		return false;
	}
	if (origin_ && !admit_forwarded())
	{
		return false;
	}
	if (id_.empty())
	{
		refuse(bad_request, "no request id");
		return false;
	}
	const auto* host = request_.find("Host");
	route_ = host == nullptr ? nullptr : catalog_->find_route(*host, request_.path());
	if (route_ == nullptr)
	{
		refuse_unknown(not_found, "no route");
		return false;
	}
	read_deadline();
	if (!shared_.accepts_request(*route_, deadline_, arrived_))
	{
		refuse_here("stopping");
		return false;
	}
	if (!authenticate())
	{
		return false;
	}
	assign_session();
	service_ = catalog_->find_service(service_id_);
	prompt_ = read_prompt(request_.find(names.token_counts), request_.find(names.prompt_segments),
		request_.find(names.length_hint));
	content_keys_ = compute_content_keys();
	if (const auto* last = request_.find(names.last_event_id))
	{
		std::uint64_t number = 0;
		const auto read = std::from_chars(last->data(), last->data() + last->size(), number);
		events_ = event_stream{read.ec == std::errc{} ? std::optional{number} : std::nullopt};
	}
	return true;
}

/// Requests of one session go to one version of a service, whatever their routes. A request without a session
/// may serve the trial of a new version; one that another VM forwards was counted there.
void exchange::assign_session()
{
	const auto* session = request_.find(shared_.names().session);
	const auto own_hash = stable_hash(session != nullptr ? *session : id_);
	service_id_ = routing::pick_service(*route_, mix_hash(own_hash, stable_hash(route_->id.str())));
	session_hash_ = mix_hash(own_hash, stable_hash(service_id_.str()));
	auto& versions = shared_.versions();
	const bool may_choose = session == nullptr && !origin_;
	if (may_choose && versions.take_trial_request(service_id_, shared_.vms(), arrived_))
	{
		session_hash_ = trial_session_hash;
		log::write(log::level::info, "request serves a version's trial",
			{{"request", id_}, {"service", service_id_.str()}});
	}
}

/// Refuses the request at once if its service is short of room. A request that another VM forwards was
/// admitted there.
bool exchange::has_room()
{
	if (origin_)
	{
		return true;
	}
	const bool is_excess = workspace_ != nullptr && shared_.usage().record(workspace_->id, arrived_);
	const auto rank = limits::rank_of(request_priority(), is_excess);
	const auto wait = shared_.admission().admit(service_id_, rank, work_unit(), arrived_);
	if (wait)
	{
		const auto spread = 1 + shared_.tuning().retry_after_jitter * to_unit_interval(stable_hash(id_));
		refuse_until(scaled(*wait, spread), "no room for this priority");
	}
	return !wait;
}

/// Work of the request in the unit of its service's load: requests, or thousands of tokens at an engine.
double exchange::work_unit() const
{
	constexpr double tokens_per_unit = 1000;
	constexpr double min_units = 0.01;
	if (!targets_engine())
	{
		return 1;
	}
	return std::max(min_units, (prompt_.expected_prefill_tokens() + prompt_.decode_work()) / tokens_per_unit);
}

void exchange::refuse_unknown(int status, std::string reason)
{
	if (shared_.knows_all_routes(arrived_))
	{
		refuse(status, std::move(reason));
		return;
	}
	refuse_here("configuration too old to tell: " + reason);
}

/// Refuses for a reason that concerns this VM only.
void exchange::refuse_here(std::string reason)
{
	is_unavailable_here_ = true;
	refuse(unavailable, std::move(reason));
}

/// Whether this VM can take the place of the one that forwards the request. Requests of other VMs' callers
/// count like those of its own: only their number is limited, by the memory that they take.
bool exchange::admit_forwarded()
{
	if (catalog_->version().value() < origin_->config_version)
	{
		refuse_here("configuration older than the forwarding VM's");
		return false;
	}
	if (shared_.is_stopping())
	{
		refuse_here("stopping");
		return false;
	}
	if (shared_.forwarded_count() > shared_.tuning().max_forwarded_requests)
	{
		refuse_here("too many forwarded requests");
		return false;
	}
	return true;
}

/// Public routes need no key, but a request with one is its workspace's all the same.
bool exchange::authenticate()
{
	if (!catalog_->needs_keys())
	{
		return true;
	}
	const bool are_keys_stale = shared_.trust_in_keys(arrived_) == key_trust::stale;
	const auto key = parse_key(request_.find("Authorization"), shared_.names().key_scheme);
	workspace_ = key && !are_keys_stale ? catalog_->find_workspace(*key) : nullptr;
	if (route_->is_public)
	{
		return true;
	}
	if (are_keys_stale)
	{
		refuse_here("configuration too old to trust keys");
		return false;
	}
	if (workspace_ == nullptr)
	{
		refuse_unknown(unauthorized, "unknown key");
		return false;
	}
	return true;
}

quarantine::content_keys exchange::compute_content_keys() const
{
	quarantine::request_content content;
	content.method = request_.method;
	content.host = *request_.find("Host");
	content.target = request_.target;
	content.body = *body_;
	if (workspace_ != nullptr)
	{
		content.workspace = workspace_->id.str();
	}
	quarantine::content_keys keys{quarantine::key_of(content), {}};
	for (const auto& segment : prompt_.shared_segments)
	{
		keys.parts.push_back(quarantine::key_of_part(service_id_, segment));
	}
	keys.combination = quarantine::key_of_combination(keys.parts);
	return keys;
}

void exchange::read_deadline()
{
	auto span = route_->time_limit;
	if (const auto* text = request_.find(shared_.names().deadline_ms))
	{
		std::uint64_t ms = 0;
		if (std::from_chars(text->data(), text->data() + text->size(), ms).ec == std::errc{})
		{
			span = std::min<duration>(span, std::chrono::milliseconds{ms});
		}
	}
	deadline_ = arrived_ + span;
}
} // namespace gingerdyke::proxy
