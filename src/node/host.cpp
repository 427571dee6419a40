// SPDX-License-Identifier: MIT
// Hosts a core in CAF actors. The node actor decides and never waits; platform actors wait and never decide.
#include <atomic>
#include <caf/all.hpp>
#include <chrono>
#include <gingerdyke/base/boot_clock.hpp>
#include <gingerdyke/base/crypto.hpp>
#include <gingerdyke/limits/call_limiter.hpp>
#include <gingerdyke/node/host.hpp>
#include <gingerdyke/node/status.hpp>
#include <gingerdyke/peer/link_hub.hpp>
#include <gingerdyke/platform/clients.hpp>
#include <random>

namespace gingerdyke::node
{
namespace
{
/// Platform actors for claims, and for everything else.
constexpr std::size_t claim_workers = 2;
constexpr std::size_t other_workers = 2;
constexpr auto tick_interval = std::chrono::milliseconds{10};
constexpr std::size_t actor_threads = 1;

/// Seconds of its rate that this VM may call the platform at once.
constexpr double call_burst_seconds = 1;

struct event_message
{
	std::shared_ptr<event> what;
};

struct query_message
{
	query_kind kind{};
	std::string argument;
	std::shared_ptr<std::promise<json>> answer;
};

struct edit_message
{
	std::shared_ptr<table::edit_request> edit;
	std::shared_ptr<std::promise<table::edit_outcome>> answer;
};

struct call_message
{
	std::shared_ptr<call_store> call;
};

/// A worker is free again.
struct call_done
{
	std::size_t worker{};
	std::shared_ptr<store_answered> answer;
};

random_source system_random()
{
	std::random_device device;
	const auto seed = (static_cast<std::uint64_t>(device()) << 32U) | device();
	return seeded_random{seed};
}
} // namespace
} // namespace gingerdyke::node

CAF_ALLOW_UNSAFE_MESSAGE_TYPE(gingerdyke::node::event_message)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(gingerdyke::node::query_message)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(gingerdyke::node::edit_message)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(gingerdyke::node::call_message)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(gingerdyke::node::call_done)

namespace gingerdyke::node
{
namespace
{
using tick_atom = caf::atom_constant<caf::atom("tick")>;
using fetch_atom = caf::atom_constant<caf::atom("fetch")>;
using fetched_none_atom = caf::atom_constant<caf::atom("none")>;

/// Waits for the table service.
caf::behavior store_worker(caf::event_based_actor* self, const endpoint& at, std::size_t index)
{
	auto client = std::make_shared<platform::store_client>(at);
	return {[=](const call_message& message)
		{
			auto answer = std::make_shared<store_answered>(
				store_answered{message.call->id, client->run(message.call->body)});
			self->send(
				caf::actor_cast<caf::actor>(self->current_sender()), call_done{index, std::move(answer)});
		}};
}

/// Waits for the platform's list of VMs.
caf::behavior member_worker(caf::event_based_actor* self, const endpoint& at)
{
	auto client = std::make_shared<platform::member_client>(at);
	return {[=](fetch_atom)
		{
			const auto asker = caf::actor_cast<caf::actor>(self->current_sender());
			auto list = client->fetch();
			if (!list)
			{
				self->send(asker, fetched_none_atom::value);
				return;
			}
			self->send(asker, event_message{std::make_shared<event>(members_fetched{std::move(*list)})});
		}};
}

/// What the node actor needs from outside.
struct surroundings
{
	std::function<void(const peer::envelope&, const std::string&)> send;
	std::function<void(request_order)> deliver;
	std::function<void(table::table_ptr)> publish;
};

/// State of the node actor.
struct node_state
{
	std::unique_ptr<core> machine;
	surroundings outside;
	std::unique_ptr<limits::call_limiter> gate;
	std::vector<caf::actor> workers;
	std::vector<bool> busy;
	caf::actor members;
	bool fetching = false;
	table::table_ptr published;
	std::map<std::uint64_t, std::shared_ptr<std::promise<table::edit_outcome>>> edits;
	std::uint64_t next_edit = 1;
	std::vector<call_store> ready_calls;
};

using node_actor = caf::stateful_actor<node_state>;

void start_calls(node_actor* self)
{
	auto& state = self->state;
	auto taken = state.gate->take(steady_now());
	std::move(taken.begin(), taken.end(), std::back_inserter(state.ready_calls));
	std::vector<call_store> left;
	for (auto& call : state.ready_calls)
	{
		const bool is_claim = call.urgency == store::priority::claim;
		const auto first = is_claim ? 0 : claim_workers;
		const auto last = is_claim ? claim_workers : claim_workers + other_workers;
		auto worker = first;
		while (worker < last && state.busy[worker])
		{
			++worker;
		}
		if (worker == last)
		{
			left.push_back(std::move(call));
			continue;
		}
		state.busy[worker] = true;
		self->send(state.workers[worker], call_message{std::make_shared<call_store>(std::move(call))});
	}
	state.ready_calls = std::move(left);
}

/// Carries out one action of the core.
struct action_runner
{
	node_actor* self;

	void operator()(send_peer& action) const
	{
		const auto& machine = *self->state.machine;
		const auto* to = machine.members().find(action.to);
		if (to == nullptr || to->address.empty())
		{
			return;
		}
		const auto& own = machine.self();
		self->state.outside.send(
			{{own.self.vm, own.incarnation}, own.self.failure_domain, std::move(action.body)}, to->address);
	}

	void operator()(call_store& action) const { self->state.gate->add(std::move(action)); }

	void operator()(fetch_members& /*action*/) const
	{
		if (!self->state.fetching)
		{
			self->state.fetching = true;
			self->send(self->state.members, fetch_atom::value);
		}
	}

	void operator()(request_order& action) const { self->state.outside.deliver(std::move(action)); }

	void operator()(table::edit_answer& action) const
	{
		const auto found = self->state.edits.find(action.ticket);
		if (found != self->state.edits.end())
		{
			found->second->set_value(std::move(action.outcome));
			self->state.edits.erase(found);
		}
	}
};

void take(node_actor* self, const event& what)
{
	auto& state = self->state;
	auto actions = state.machine->step(what, steady_now());
	for (auto& action : actions)
	{
		std::visit(action_runner{self}, action);
	}
	const auto& newest = state.machine->table_copy().current();
	if (newest != state.published)
	{
		state.published = newest;
		state.outside.publish(newest);
	}
	start_calls(self);
}

json answer_query(const core& machine, const query_message& query)
{
	switch (query.kind)
	{
	case query_kind::status:
		return status_of(machine, steady_now());
	case query_kind::rows:
		return rows_of(machine);
	case query_kind::explain:
		return explanation_of(machine, request_id{query.argument});
	case query_kind::drained:
		return machine.drained();
	}
	return nullptr;
}

caf::behavior run_node(node_actor* self, const settings& settings, const surroundings& outside)
{
	auto& state = self->state;
	membership::member own{settings.vm, settings.failure_domain, membership::member_kind::entry,
		membership::member_state::live, settings.peer.str()};
	const auto started = std::chrono::system_clock::now().time_since_epoch();
	const auto incarnation = std::chrono::duration_cast<std::chrono::microseconds>(started).count();
	state.machine = std::make_unique<core>(
		identity{std::move(own), static_cast<std::uint64_t>(incarnation)}, settings.seeds, system_random());
	state.outside = outside;
	const auto rate = settings.platform_calls_per_second;
	state.gate =
		std::make_unique<limits::call_limiter>(rate, std::max(1.0, rate * call_burst_seconds), steady_now());
	for (std::size_t i = 0; i < claim_workers + other_workers; ++i)
	{
		state.workers.push_back(
			self->spawn<caf::detached + caf::linked>(store_worker, settings.table_service, i));
		state.busy.push_back(false);
	}
	state.members = self->spawn<caf::detached + caf::linked>(member_worker, settings.vm_list);
	self->delayed_send(self, tick_interval, tick_atom::value);
	return {
		[=](const event_message& message)
		{
			if (std::holds_alternative<members_fetched>(*message.what))
			{
				self->state.fetching = false;
			}
			take(self, *message.what);
		},
		[=](fetched_none_atom) { self->state.fetching = false; },
		[=](const call_done& done)
		{
			self->state.busy[done.worker] = false;
			take(self, *done.answer);
		},
		[=](tick_atom)
		{
			self->delayed_send(self, tick_interval, tick_atom::value);
			take(self, tick{});
		},
		[=](const query_message& query)
		{ query.answer->set_value(answer_query(*self->state.machine, query)); },
		[=](const edit_message& message)
		{
			auto edit = *message.edit;
			edit.ticket = self->state.next_edit++;
			self->state.edits.emplace(edit.ticket, message.answer);
			take(self, edit_wanted{std::move(edit)});
		},
	};
}
} // namespace

class host::impl
{
  public:
	explicit impl(const settings& settings) : system_(configure(config_))
	{
		links_ = std::make_unique<peer::link_hub>(settings.peer.host, settings.peer.port,
			settings.peer_secret, [this](peer::envelope envelope) { receive(std::move(envelope)); });
		surroundings outside;
		outside.send = [this](const peer::envelope& envelope, const std::string& address)
		{ links_->send(address, envelope); };
		outside.deliver = [this](request_order order) { mailboxes_.deliver(std::move(order)); };
		outside.publish = [this](table::table_ptr table) { std::atomic_store(&table_, std::move(table)); };
		node_ = system_.spawn<caf::detached>(run_node, settings, outside);
		ready_ = true;
	}

	~impl() { stop(); }

	impl(const impl&) = delete;
	impl& operator=(const impl&) = delete;
	impl(impl&&) = delete;
	impl& operator=(impl&&) = delete;

	void post(event what) { caf::anon_send(node_, event_message{std::make_shared<event>(std::move(what))}); }

	json ask(query_kind kind, const std::string& argument)
	{
		auto answer = std::make_shared<std::promise<json>>();
		auto future = answer->get_future();
		caf::anon_send(node_, query_message{kind, argument, std::move(answer)});
		return future.get();
	}

	table::edit_outcome edit(table::edit_request request)
	{
		auto answer = std::make_shared<std::promise<table::edit_outcome>>();
		auto future = answer->get_future();
		caf::anon_send(node_,
			edit_message{std::make_shared<table::edit_request>(std::move(request)), std::move(answer)});
		return future.get();
	}

	[[nodiscard]] table::table_ptr table() const { return std::atomic_load(&table_); }
	[[nodiscard]] mailbox_board& mailboxes() noexcept { return mailboxes_; }
	[[nodiscard]] const peer::link_counts& links() const { return links_->counts(); }

	void stop()
	{
		if (stopped_.exchange(true))
		{
			return;
		}
		links_->stop();
		caf::anon_send_exit(node_, caf::exit_reason::user_shutdown);
		node_ = nullptr;
	}

  private:
	static caf::actor_system_config& configure(caf::actor_system_config& config)
	{
		// The stealing scheduler polls, and sleeps up to 10 ms between polls: both cost more than our few
		// actors.
		config.set("scheduler.policy", caf::atom("sharing"));
		config.set("scheduler.max-threads", actor_threads);
		return config;
	}

	void receive(peer::envelope envelope)
	{
		if (ready_)
		{
			post(peer_received{std::move(envelope)});
		}
	}

	caf::actor_system_config config_;
	caf::actor_system system_;
	mailbox_board mailboxes_;
	table::table_ptr table_;
	std::atomic<bool> ready_{false};
	std::atomic<bool> stopped_{false};
	caf::actor node_;
	std::unique_ptr<peer::link_hub> links_;
};

host::host(const settings& settings) : impl_(std::make_unique<impl>(settings)) {}

host::~host() = default;

void host::post(event what)
{
	impl_->post(std::move(what));
}

json host::ask(query_kind kind, const std::string& argument)
{
	auto answer = impl_->ask(kind, argument);
	if (kind == query_kind::status)
	{
		const auto& counts = impl_->links();
		answer["links"] = {{"sent", counts.sent.load()}, {"sent_bytes", counts.sent_bytes.load()},
			{"received", counts.received.load()}, {"received_bytes", counts.received_bytes.load()},
			{"rejected", counts.rejected.load()}, {"undelivered", counts.undelivered.load()}};
	}
	return answer;
}

table::edit_outcome host::edit(table::edit_request request)
{
	return impl_->edit(std::move(request));
}

table::table_ptr host::table() const
{
	return impl_->table();
}

mailbox_board& host::mailboxes() noexcept
{
	return impl_->mailboxes();
}

void host::stop()
{
	impl_->stop();
}
} // namespace gingerdyke::node
