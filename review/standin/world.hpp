// SPDX-License-Identifier: MIT
// Stand-ins for the cases of the review: the platform's store, replicas, callers, and the processes under
// review. They follow PROTOCOL.md and DEPLOY.md of the users' pages. Loopback only, one thread a connection.
#pragma once

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdint>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/tcp.h>
#include <nlohmann/json.hpp>
#include <poll.h>
#include <spawn.h>
#include <sstream>
#include <string>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace review
{
using json = nlohmann::json;
using steady = std::chrono::steady_clock;
using std::chrono::milliseconds;

inline steady::time_point run_start = steady::now();

inline double seconds_since_start()
{
	return std::chrono::duration<double>(steady::now() - run_start).count();
}

/// What was sent, answered and run, with the time of each in seconds since the start of the case.
class record
{
  public:
	explicit record(const std::string& path) : out_(path) {}

	void line(const std::string& text)
	{
		const std::lock_guard lock{mutex_};
		std::ostringstream written;
		written.precision(3);
		written << std::fixed << seconds_since_start() << " " << text << "\n";
		out_ << written.str() << std::flush;
		std::cout << written.str() << std::flush;
	}

  private:
	std::mutex mutex_;
	std::ofstream out_;
};

struct http_request
{
	std::string method;
	std::string target;
	std::vector<std::pair<std::string, std::string>> fields;
	std::string body;

	[[nodiscard]] std::string path() const { return target.substr(0, target.find('?')); }

	[[nodiscard]] std::string field(const std::string& name) const
	{
		for (const auto& [key, value] : fields)
		{
			if (strcasecmp(key.c_str(), name.c_str()) == 0)
			{
				return value;
			}
		}
		return {};
	}

	[[nodiscard]] bool has(const std::string& name) const
	{
		for (const auto& entry : fields)
		{
			if (strcasecmp(entry.first.c_str(), name.c_str()) == 0)
			{
				return true;
			}
		}
		return false;
	}
};

struct http_response
{
	int status = 0;
	std::vector<std::pair<std::string, std::string>> fields;
	std::string body;
};

inline int listen_on(const std::string& ip, std::uint16_t port)
{
	const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	const int one = 1;
	::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	sockaddr_in at{};
	at.sin_family = AF_INET;
	at.sin_port = htons(port);
	::inet_pton(AF_INET, ip.c_str(), &at.sin_addr);
	if (::bind(fd, reinterpret_cast<sockaddr*>(&at), sizeof(at)) != 0 || ::listen(fd, 256) != 0)
	{
		throw std::runtime_error{"listen on " + ip + ": " + std::strerror(errno)};
	}
	return fd;
}

inline std::uint16_t port_of(int fd)
{
	sockaddr_in at{};
	socklen_t size = sizeof(at);
	::getsockname(fd, reinterpret_cast<sockaddr*>(&at), &size);
	return ntohs(at.sin_port);
}

/// A loopback address that this run has to itself.
inline std::string own_ip()
{
	const auto process = static_cast<unsigned>(::getpid());
	return "127." + std::to_string(2 + process % 250) + "." + std::to_string(process / 250 % 250) + "." +
		   std::to_string(1 + static_cast<unsigned>(time(nullptr)) % 250);
}

/// \returns A connected socket; -1 if it was refused or did not come up in time.
inline int connect_to(const std::string& ip, std::uint16_t port, milliseconds limit = milliseconds{1000})
{
	const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
	sockaddr_in at{};
	at.sin_family = AF_INET;
	at.sin_port = htons(port);
	::inet_pton(AF_INET, ip.c_str(), &at.sin_addr);
	int error = ::connect(fd, reinterpret_cast<sockaddr*>(&at), sizeof(at)) == 0 ? 0 : errno;
	if (error == EINPROGRESS)
	{
		pollfd waiting{fd, POLLOUT, 0};
		socklen_t size = sizeof(error);
		error = ETIMEDOUT;
		if (::poll(&waiting, 1, static_cast<int>(limit.count())) == 1)
		{
			::getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size);
		}
	}
	if (error != 0)
	{
		::close(fd);
		return -1;
	}
	::fcntl(fd, F_SETFL, ::fcntl(fd, F_GETFL) & ~O_NONBLOCK);
	const int one = 1;
	::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	return fd;
}

inline bool send_all(int fd, const std::string& bytes)
{
	std::size_t sent = 0;
	while (sent < bytes.size())
	{
		const auto size = ::send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
		if (size <= 0)
		{
			return false;
		}
		sent += static_cast<std::size_t>(size);
	}
	return true;
}

/// Reads HTTP messages from a socket, up to a time limit each.
class reader
{
  public:
	explicit reader(int fd) : fd_(fd) {}

	/// \returns Whether more bytes arrived; false at the end of the connection or the time limit.
	bool fill(steady::time_point until)
	{
		const auto left = std::chrono::duration_cast<milliseconds>(until - steady::now()).count();
		pollfd waiting{fd_, POLLIN, 0};
		if (left <= 0 || ::poll(&waiting, 1, static_cast<int>(left)) != 1)
		{
			timed_out_ = true;
			return false;
		}
		char bytes[16384];
		const auto size = ::recv(fd_, bytes, sizeof(bytes), 0);
		if (size <= 0)
		{
			is_reset_ = size < 0;
			return false;
		}
		buffer_.append(bytes, static_cast<std::size_t>(size));
		return true;
	}

	bool read_until(const std::string& mark, std::string& to, steady::time_point until)
	{
		auto at = buffer_.find(mark);
		while (at == std::string::npos)
		{
			if (!fill(until))
			{
				return false;
			}
			at = buffer_.find(mark);
		}
		to = buffer_.substr(0, at);
		buffer_.erase(0, at + mark.size());
		return true;
	}

	bool read_size(std::size_t size, std::string& to, steady::time_point until)
	{
		while (buffer_.size() < size)
		{
			if (!fill(until))
			{
				return false;
			}
		}
		to.append(buffer_, 0, size);
		buffer_.erase(0, size);
		return true;
	}

	bool read_chunks(std::string& to, steady::time_point until)
	{
		while (true)
		{
			std::string size_text;
			if (!read_until("\r\n", size_text, until))
			{
				return false;
			}
			const auto size = std::stoul(size_text, nullptr, 16);
			std::string end;
			if (!read_size(size, to, until) || !read_size(2, end, until))
			{
				return false;
			}
			if (size == 0)
			{
				return true;
			}
		}
	}

	[[nodiscard]] bool timed_out() const { return timed_out_; }
	[[nodiscard]] bool is_reset() const { return is_reset_; }
	[[nodiscard]] bool is_empty() const { return buffer_.empty(); }

  private:
	int fd_;
	std::string buffer_;
	bool timed_out_ = false;
	bool is_reset_ = false;
};

inline std::vector<std::pair<std::string, std::string>> parse_fields(const std::string& head)
{
	std::vector<std::pair<std::string, std::string>> fields;
	std::istringstream lines{head};
	std::string line;
	std::getline(lines, line);
	while (std::getline(lines, line))
	{
		if (!line.empty() && line.back() == '\r')
		{
			line.pop_back();
		}
		const auto colon = line.find(':');
		if (colon != std::string::npos)
		{
			const auto start = line.find_first_not_of(" \t", colon + 1);
			fields.emplace_back(
				line.substr(0, colon), start == std::string::npos ? std::string{} : line.substr(start));
		}
	}
	return fields;
}

inline bool read_request(reader& from, http_request& to, steady::time_point until)
{
	std::string head;
	if (!from.read_until("\r\n\r\n", head, until))
	{
		return false;
	}
	to = {};
	std::istringstream first{head.substr(0, head.find("\r\n"))};
	first >> to.method >> to.target;
	to.fields = parse_fields(head);
	if (to.field("Transfer-Encoding") == "chunked")
	{
		return from.read_chunks(to.body, until);
	}
	const auto length = to.field("Content-Length");
	return length.empty() || from.read_size(std::stoul(length), to.body, until);
}

inline std::string write_response(const http_response& answer)
{
	std::string bytes = "HTTP/1.1 " + std::to_string(answer.status) + " Status\r\n";
	for (const auto& [name, value] : answer.fields)
	{
		bytes += name + ": " + value + "\r\n";
	}
	return bytes + "Content-Length: " + std::to_string(answer.body.size()) + "\r\n\r\n" + answer.body;
}

/// What a caller got for one request.
struct received
{
	bool is_complete = false;
	bool timed_out = false;
	bool is_reset = false;
	int status = 0;
	std::vector<std::pair<std::string, std::string>> fields;
	std::string body;

	[[nodiscard]] std::string text() const
	{
		if (is_complete)
		{
			auto shown = body.substr(0, 120);
			while (!shown.empty() && shown.back() == '\n')
			{
				shown.pop_back();
			}
			return "status " + std::to_string(status) + ", body '" + shown + "'";
		}
		const std::string how = timed_out ? "no end within the limit" : is_reset ? "reset" : "closed";
		return how + (status == 0 ? ", no answer" : ", cut answer with status " + std::to_string(status));
	}
};

inline received read_answer(int fd, milliseconds limit)
{
	const auto until = steady::now() + limit;
	reader from{fd};
	received got;
	std::string head;
	if (from.read_until("\r\n\r\n", head, until))
	{
		got.status = std::atoi(head.substr(9, 3).c_str());
		got.fields = parse_fields(head);
		http_request fields;
		fields.fields = got.fields;
		const auto length = fields.field("Content-Length");
		got.is_complete = fields.field("Transfer-Encoding") == "chunked"
							  ? from.read_chunks(got.body, until)
							  : from.read_size(length.empty() ? 0 : std::stoul(length), got.body, until);
	}
	got.timed_out = from.timed_out();
	got.is_reset = from.is_reset();
	return got;
}

inline received ask(const std::string& ip, std::uint16_t port, const std::string& bytes, milliseconds limit)
{
	const int fd = connect_to(ip, port);
	if (fd < 0)
	{
		received got;
		got.is_reset = true;
		return got;
	}
	send_all(fd, bytes);
	auto got = read_answer(fd, limit);
	::close(fd);
	return got;
}

/// A server with one thread for each connection. The handler returns false to close the connection.
class server
{
  public:
	using handler = std::function<bool(int fd, const http_request& incoming)>;

	server(const std::string& ip, std::uint16_t port, handler handle)
		: ip_(ip), fd_(listen_on(ip, port)), port_(port_of(fd_)), handle_(std::move(handle))
	{
		std::thread{[this] { accept_all(); }}.detach();
	}

	[[nodiscard]] std::string at() const { return ip_ + ":" + std::to_string(port_); }
	[[nodiscard]] std::uint16_t port() const { return port_; }

  private:
	void accept_all()
	{
		while (true)
		{
			const int fd = ::accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
			if (fd < 0)
			{
				return;
			}
			const int one = 1;
			::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
			std::thread{[this, fd] { serve(fd); }}.detach();
		}
	}

	void serve(int fd)
	{
		reader from{fd};
		http_request incoming;
		while (
			read_request(from, incoming, steady::now() + std::chrono::seconds{100}) && handle_(fd, incoming))
		{
		}
		::close(fd);
	}

	std::string ip_;
	int fd_;
	std::uint16_t port_;
	handler handle_;
};

inline std::string to_base64(const std::string& bytes)
{
	static const char* const letters = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
	std::string text;
	for (std::size_t i = 0; i < bytes.size(); i += 3)
	{
		const auto at = [&](std::size_t n)
		{ return n < bytes.size() ? static_cast<unsigned char>(bytes[n]) : 0U; };
		const unsigned group = at(i) << 16U | at(i + 1) << 8U | at(i + 2);
		text += letters[group >> 18U & 63U];
		text += letters[group >> 12U & 63U];
		text += i + 1 < bytes.size() ? letters[group >> 6U & 63U] : '=';
		text += i + 2 < bytes.size() ? letters[group & 63U] : '=';
	}
	return text;
}

inline std::string from_base64(const std::string& text)
{
	std::string bytes;
	unsigned group = 0;
	unsigned bits = 0;
	for (const char c : text)
	{
		const int value = c >= 'A' && c <= 'Z'   ? c - 'A'
						  : c >= 'a' && c <= 'z' ? c - 'a' + 26
						  : c >= '0' && c <= '9' ? c - '0' + 52
						  : c == '+'             ? 62
						  : c == '/'             ? 63
												 : -1;
		if (value < 0)
		{
			break;
		}
		group = group << 6U | static_cast<unsigned>(value);
		bits += 6;
		if (bits >= 8)
		{
			bits -= 8;
			bytes += static_cast<char>(group >> bits & 255U);
		}
	}
	return bytes;
}

inline std::map<std::string, std::string> query_of(const std::string& target)
{
	std::map<std::string, std::string> query;
	const auto start = target.find('?');
	std::istringstream parts{start == std::string::npos ? "" : target.substr(start + 1)};
	for (std::string part; std::getline(parts, part, '&');)
	{
		const auto equals = part.find('=');
		std::string value;
		for (std::size_t i = equals + 1; equals != std::string::npos && i < part.size(); ++i)
		{
			if (part[i] == '%' && i + 2 < part.size())
			{
				value += static_cast<char>(std::stoi(part.substr(i + 1, 2), nullptr, 16));
				i += 2;
			}
			else
			{
				value += part[i];
			}
		}
		query[part.substr(0, equals)] = value;
	}
	return query;
}

/// The platform's store: rows with versions, conditions, feeds. Nothing it acknowledged is lost.
class store
{
  public:
	explicit store(const std::string& ip)
		: server_(ip, 0, [this](int fd, const http_request& incoming) { return handle(fd, incoming); })
	{
	}

	[[nodiscard]] std::string at() const { return server_.at(); }

	void put(const std::string& table, const std::string& key, const std::string& value)
	{
		const std::lock_guard lock{mutex_};
		write(table, key, value, false);
		changed_.notify_all();
	}

	void remove(const std::string& table, const std::string& key)
	{
		const std::lock_guard lock{mutex_};
		write(table, key, {}, true);
		changed_.notify_all();
	}

	[[nodiscard]] std::string value(const std::string& table, const std::string& key)
	{
		const std::lock_guard lock{mutex_};
		const auto found = rows_.find({table, key});
		return found == rows_.end() ? std::string{} : found->second.value;
	}

	/// Called with the path and the table before an answer is sent.
	std::function<void(const std::string& path, const std::string& table)> before_answer;

	/// Called with each call, after it was read.
	std::function<void(const http_request&)> on_call;

  private:
	struct row
	{
		std::string value;
		std::int64_t version = 0;
		bool removed = false;
	};

	static constexpr std::size_t page_rows = 500;
	static constexpr std::size_t page_bytes = 1000000;

	void write(const std::string& table, const std::string& key, const std::string& value, bool removed)
	{
		rows_[{table, key}] = {value, ++version_, removed};
	}

	static json row_of(const std::pair<std::string, std::string>& at, const row& from)
	{
		json shown{{"table", at.first}, {"part", ""}, {"key", at.second}, {"ver", from.version}};
		if (from.removed)
		{
			shown["tombstone"] = true;
		}
		else
		{
			shown["value"] = to_base64(from.value);
		}
		return shown;
	}

	bool handle(int fd, const http_request& incoming)
	{
		if (on_call)
		{
			on_call(incoming);
		}
		const auto query = query_of(incoming.target);
		const auto table = query.contains("table") ? query.at("table") : std::string{};
		int status = 404;
		json body = json::object();
		if (incoming.path() == "/v1/rows-get")
		{
			status = read_rows(query, body);
		}
		else if (incoming.path() == "/v1/rows-feed")
		{
			status = feed(query, body);
		}
		else if (incoming.path() == "/v1/rows-tx")
		{
			status = change(json::parse(incoming.body), body);
		}
		if (before_answer)
		{
			before_answer(incoming.path(), table);
		}
		return send_all(fd, write_response({status, {{"Content-Type", "application/json"}}, body.dump()}));
	}

	void stamp(json& body) const
	{
		body["ver"] = version_;
		body["now_ms"] = std::chrono::duration<double, std::milli>(steady::now() - run_start).count() + 50000;
	}

	int read_rows(const std::map<std::string, std::string>& query, json& body)
	{
		const std::lock_guard lock{mutex_};
		const auto from = query.contains("from") ? query.at("from") : std::string{};
		const auto limit =
			std::min(query.contains("limit") ? std::stoul(query.at("limit")) : page_rows, page_rows);
		json rows = json::array();
		std::size_t bytes = 0;
		bool truncated = false;
		for (const auto& [at, stored] : rows_)
		{
			if (at.first != query.at("table") || stored.removed || at.second < from)
			{
				continue;
			}
			const auto size = stored.value.size() * 4 / 3;
			// A page holds at most 500 rows or 1 MB; a larger row comes alone.
			if (rows.size() >= limit || (!rows.empty() && bytes + size > page_bytes))
			{
				truncated = true;
				break;
			}
			bytes += size;
			rows.push_back(row_of(at, stored));
		}
		body = {{"rows", rows}, {"truncated", truncated}};
		stamp(body);
		return 200;
	}

	int feed(const std::map<std::string, std::string>& query, json& body)
	{
		std::unique_lock lock{mutex_};
		const auto table = query.at("table");
		const auto after = std::stoll(query.at("after"));
		const auto until = steady::now() + milliseconds{std::stoll(query.at("wait_ms"))};
		while (true)
		{
			std::vector<std::pair<std::int64_t, json>> changes;
			for (const auto& [at, stored] : rows_)
			{
				if (at.first == table && stored.version > after)
				{
					changes.emplace_back(stored.version, row_of(at, stored));
				}
			}
			std::sort(changes.begin(), changes.end(),
				[](const auto& a, const auto& b) { return a.first < b.first; });
			if (!changes.empty() || changed_.wait_until(lock, until) == std::cv_status::timeout)
			{
				json rows = json::array();
				for (auto& [version, shown] : changes)
				{
					rows.push_back(std::move(shown));
				}
				body = {{"rows", rows}};
				stamp(body);
				return 200;
			}
		}
	}

	int change(const json& call, json& body)
	{
		const std::lock_guard lock{mutex_};
		bool holds = true;
		json current = json::array();
		for (const auto& condition : call.value("if_rev", json::array()))
		{
			const std::pair key{
				condition.at("table").get<std::string>(), condition.at("key").get<std::string>()};
			const auto found = rows_.find(key);
			const bool exists = found != rows_.end() && !found->second.removed;
			holds = holds && condition.at("ver").get<std::int64_t>() == (exists ? found->second.version : 0);
			if (exists)
			{
				current.push_back(row_of(key, found->second));
			}
		}
		if (!holds)
		{
			body = {{"rows", current}};
			stamp(body);
			return 412;
		}
		// All rows of one transaction get one version.
		++version_;
		for (const auto& put : call.value("puts", json::array()))
		{
			rows_[{put.at("table").get<std::string>(), put.at("key").get<std::string>()}] = {
				from_base64(put.at("value").get<std::string>()), version_, false};
		}
		for (const auto& gone : call.value("remove", json::array()))
		{
			rows_[{gone.at("table").get<std::string>(), gone.at("key").get<std::string>()}] = {
				{}, version_, true};
		}
		changed_.notify_all();
		stamp(body);
		return 200;
	}

	std::mutex mutex_;
	std::condition_variable changed_;
	std::map<std::pair<std::string, std::string>, row> rows_;
	std::int64_t version_ = 500;
	server server_;
};

/// A replica. It answers 421 to a request for another instance, and the request's id and its stamp to others.
class replica
{
  public:
	replica(const std::string& ip, std::string id, record& log)
		: id_(std::move(id)), log_(log),
		  server_(ip, 0, [this](int fd, const http_request& incoming) { return handle(fd, incoming); })
	{
	}

	[[nodiscard]] const std::string& id() const { return id_; }
	[[nodiscard]] std::string at() const { return server_.at(); }
	[[nodiscard]] int runs() const { return runs_; }

	[[nodiscard]] int runs_of(const std::string& request)
	{
		const std::lock_guard lock{mutex_};
		return runs_by_id_[request];
	}

	/// Time that a request takes.
	std::function<milliseconds(const http_request&)> work = [](const http_request&)
	{ return milliseconds{20}; };

	/// Called when a request begins to run.
	std::function<void(const http_request&)> on_run;

	/// Number of events of an answer that is a stream; 0 for other answers. One comes each 200 ms.
	std::function<int(const http_request&)> stream_events = [](const http_request&) { return 0; };

	/// Whether the answer is a body without length and without end. The hook is called before each part of
	/// it.
	std::function<bool(const http_request&)> endless = [](const http_request&) { return false; };
	std::function<void(std::size_t)> before_endless_bytes;

	/// Status of the answer.
	std::function<int(const http_request&)> status = [](const http_request&) { return 200; };

	/// Whether runs are written to the record.
	bool is_recorded = true;

  private:
	bool handle(int fd, const http_request& incoming)
	{
		if (incoming.path() == "/healthz")
		{
			return send_all(fd, write_response({200, {{"X-Gingerdyke-Replica-Id", id_}}, {}}));
		}
		const auto request = incoming.field("X-Gingerdyke-Request-Id");
		if (incoming.field("X-Gingerdyke-Target-Instance") != id_)
		{
			return send_all(
				fd, write_response(
						{421, {{"X-Gingerdyke-Request-Id", request}, {"X-Gingerdyke-Replica-Id", id_}}, {}}));
		}
		++runs_;
		{
			const std::lock_guard lock{mutex_};
			++runs_by_id_[request];
		}
		if (is_recorded)
		{
			log_.line(
				"replica " + id_ + " runs " + request + " (" + incoming.method + " " + incoming.target + ")");
		}
		if (on_run)
		{
			on_run(incoming);
		}
		std::this_thread::sleep_for(work(incoming));
		if (const int events = stream_events(incoming))
		{
			return send_stream(fd, request, events, incoming.field("Last-Event-Id"));
		}
		if (endless(incoming))
		{
			send_endless(fd, request);
			return false;
		}
		const auto code = status(incoming);
		return send_all(fd, write_response({code,
								{{"X-Gingerdyke-Request-Id", request},
									{"X-Gingerdyke-Server-Stamp", "s." + id_ + "." + request}},
								"answer to " + request + "\n"}));
	}

	/// Sends until the other side closes.
	void send_endless(int fd, const std::string& request) const
	{
		log_.line("replica " + id_ + " answers " + request + " without end");
		const std::string part(262144, 'x');
		std::size_t sent = 0;
		bool is_open =
			send_all(fd, "HTTP/1.1 200 OK\r\nX-Gingerdyke-Request-Id: " + request +
							 "\r\nX-Gingerdyke-Server-Stamp: s." + id_ + "." + request + "\r\n\r\n");
		while (is_open)
		{
			if (before_endless_bytes)
			{
				before_endless_bytes(part.size());
			}
			is_open = send_all(fd, part);
			sent += is_open ? part.size() : 0;
		}
		log_.line("the answer to " + request + " was closed after " + std::to_string(sent / 1000000) + " MB");
	}

	bool send_stream(int fd, const std::string& request, int events, const std::string& last) const
	{
		if (!send_all(fd, "HTTP/1.1 200 OK\r\nX-Gingerdyke-Request-Id: " + request +
							  "\r\nX-Gingerdyke-Server-Stamp: s." + id_ + "." + request +
							  "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"))
		{
			return false;
		}
		for (int number = (last.empty() ? 0 : std::stoi(last)) + 1; number <= events; ++number)
		{
			const auto event = "id: " + std::to_string(number) + "\ndata: " + request + " " +
							   std::to_string(number) + "\n\n";
			std::ostringstream size;
			size << std::hex << event.size();
			if (!send_all(fd, size.str() + "\r\n" + event + "\r\n"))
			{
				return false;
			}
			std::this_thread::sleep_for(milliseconds{200});
		}
		return send_all(fd, "0\r\n\r\n");
	}

	std::string id_;
	record& log_;
	std::mutex mutex_;
	std::map<std::string, int> runs_by_id_;
	std::atomic<int> runs_ = 0;
	server server_;
};

inline std::string replica_row(const replica& one, const std::string& service, const std::string& zone,
	const std::string& version = "v1", const std::string& state = "ready", unsigned slots = 64)
{
	return json{{"service", service}, {"address", one.at()}, {"zone", zone}, {"version", version},
		{"slots", slots}, {"state", state}, {"cold_remaining_ms", 0}, {"sequence", 1}}
		.dump();
}

/// One process under review: `target/gingerdyke route` with the settings of deploy/system.toml, as the
/// template platform/settings.json.tmpl has them for a small deployment (DEPLOY.md).
class vm
{
  public:
	vm(std::string name, std::string zone, const std::string& ip, std::uint16_t first_port,
		const std::string& store_at, const std::filesystem::path& folder, record& log)
		: name_(std::move(name)), ip_(ip), port_(first_port), folder_(folder), log_(log)
	{
		settings_ = {{"vm", name_}, {"failure_domain", zone}, {"serve", at(0)}, {"ready", at(1)},
			{"registry", store_at}, {"relay", at(2)}, {"internal_ports", {first_port + 2, first_port + 10}},
			{"change_limit_ms", 2000}, {"leave_limit_ms", 2000},
			{"regions", {{"zone-a", "geo"}, {"zone-b", "geo"}, {"zone-c", "geo"}}}, {"link_mbps", 1000.0},
			{"stop_limit_ms", 8000}, {"log_level", "info"}, {"keys_revoked_ms", 5000},
			{"exposure_limit", 0.15}, {"keys_must_expire", true},
			{"features", {"base", "drain", "config", "cost", "retry", "recover", "engine", "stream",
							 "tenants", "platform", "rollout"}},
			{"attempts", {{"ratio", 0.9}, {"window_s", 10}, {"slack", 54}}}};
	}

	vm(const vm&) = delete;
	vm& operator=(const vm&) = delete;

	~vm() { end(); }

	[[nodiscard]] json& settings() { return settings_; }
	[[nodiscard]] const std::string& name() const { return name_; }
	[[nodiscard]] const std::string& ip() const { return ip_; }
	[[nodiscard]] std::uint16_t port() const { return port_; }
	[[nodiscard]] pid_t pid() const { return pid_; }

	void start()
	{
		const auto file = (folder_ / (name_ + ".json")).string();
		std::ofstream{file} << settings_.dump(1) << "\n";
		posix_spawn_file_actions_t actions;
		posix_spawn_file_actions_init(&actions);
		const auto output = (folder_ / (name_ + ".log")).string();
		posix_spawn_file_actions_addopen(&actions, 1, output.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
		posix_spawn_file_actions_adddup2(&actions, 1, 2);
		std::string program = "target/gingerdyke";
		std::string command = "route";
		std::string variable = "GINGERDYKE_CONFIG=" + file;
		char* const arguments[] = {program.data(), command.data(), nullptr};
		char* const environment[] = {variable.data(), nullptr};
		if (::posix_spawn(&pid_, program.c_str(), &actions, nullptr, arguments, environment) != 0)
		{
			throw std::runtime_error{"starting " + program};
		}
		posix_spawn_file_actions_destroy(&actions);
		log_.line("started " + name_);
	}

	void signal(int number) const { ::kill(pid_, number); }

	/// \returns Whether the process has ended.
	bool has_ended()
	{
		if (pid_ > 0 && ::waitpid(pid_, &exit_status_, WNOHANG) == pid_)
		{
			pid_ = 0;
		}
		return pid_ == 0;
	}

	bool await_end(milliseconds limit)
	{
		const auto until = steady::now() + limit;
		while (!has_ended() && steady::now() < until)
		{
			std::this_thread::sleep_for(milliseconds{10});
		}
		return pid_ == 0;
	}

	void end()
	{
		if (!has_ended())
		{
			::kill(pid_, SIGCONT);
			::kill(pid_, SIGKILL);
			::waitpid(pid_, &exit_status_, 0);
			pid_ = 0;
		}
	}

	[[nodiscard]] bool is_ready() const
	{
		return ask(ip_, static_cast<std::uint16_t>(port_ + 1),
				   "GET /v1/readyz HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n", milliseconds{1000})
				   .status == 200;
	}

	[[nodiscard]] bool await_ready(milliseconds limit) const
	{
		const auto until = steady::now() + limit;
		while (steady::now() < until)
		{
			if (is_ready())
			{
				return true;
			}
			std::this_thread::sleep_for(milliseconds{20});
		}
		return false;
	}

  private:
	[[nodiscard]] std::string at(unsigned offset) const { return ip_ + ":" + std::to_string(port_ + offset); }

	std::string name_;
	std::string ip_;
	std::uint16_t port_;
	std::filesystem::path folder_;
	record& log_;
	json settings_;
	pid_t pid_ = 0;
	int exit_status_ = 0;
};

inline json plain_route(const std::string& name, const std::string& prefix, const std::string& kind,
	const std::string& service, int timeout_ms, int target_ms, int attempts = 3)
{
	return {{"name", name}, {"host", "shop.example"}, {"path_prefix", prefix}, {"kind", kind},
		{"timeout_ms", timeout_ms}, {"target_latency_ms", target_ms}, {"priority", 2}, {"service", service},
		{"max_attempts", attempts}, {"public", false}};
}

inline json manifest(int version, const json& routes, const std::vector<std::string>& services)
{
	json listed = json::array();
	for (const auto& name : services)
	{
		listed.push_back({{"name", name}, {"health_path", "/healthz"}, {"max_connections", 100},
			{"protocol", "h1"}, {"tls", false}});
	}
	return {{"version", version}, {"routes", routes}, {"services", listed},
		{"limits", {{"max_header_bytes", 16384}, {"max_body_bytes", 4194304}, {"header_timeout_ms", 3000},
					   {"idle_timeout_ms", 15000}}},
		{"tenants", json::array({{{"name", "tenant-1"}, {"api_keys", {"key-1"}}}})}};
}

inline std::string request_bytes(const std::string& method, const std::string& path, const std::string& id,
	int deadline_ms, const std::string& more = "Authorization: Token key-1\r\n")
{
	return method + " " + path + " HTTP/1.1\r\nHost: shop.example\r\nX-Gingerdyke-Request-Id: " + id +
		   "\r\nX-Gingerdyke-Deadline-Ms: " + std::to_string(deadline_ms) + "\r\n" + more +
		   (method == "POST" ? "Content-Length: 4\r\n\r\nbody" : "\r\n");
}

/// A temporary folder that is removed at the end.
class temporary_folder
{
  public:
	temporary_folder()
	{
		std::string pattern = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
		path_ = ::mkdtemp(pattern.data());
	}

	~temporary_folder()
	{
		std::error_code ignored;
		if (std::getenv("REVIEW_KEEP") == nullptr)
		{
			std::filesystem::remove_all(path_, ignored);
		}
	}

	[[nodiscard]] const std::filesystem::path& path() const { return path_; }

  private:
	std::filesystem::path path_;
};

inline bool has_trouble()
{
	const auto* value = std::getenv("TROUBLE");
	return value == nullptr || std::string{value} != "0";
}
} // namespace review
