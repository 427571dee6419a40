// SPDX-License-Identifier: MIT
// One real VM process.
#include "vm_process.hpp"

#include <array>
#include <csignal>
#include <fcntl.h>
#include <fstream>
#include <spawn.h>
#include <sys/wait.h>
#include <system_error>

namespace gingerdyke::soak
{
vm_process::vm_process(std::filesystem::path binary, std::filesystem::path directory, std::string name,
	const json& settings, vm_addresses at)
	: binary_(std::move(binary)), directory_(std::move(directory)), name_(std::move(name)), at_(std::move(at))
{
	std::ofstream{directory_ / (name_ + ".json")} << settings.dump(1, '\t') << "\n";
}

vm_process::~vm_process()
{
	if (pid_ > 0)
	{
		::kill(pid_, SIGKILL);
		::waitpid(pid_, nullptr, 0);
	}
}

void vm_process::start()
{
	posix_spawn_file_actions_t actions;
	posix_spawn_file_actions_init(&actions);
	constexpr mode_t mode = 0644;
	const auto log = log_file().string();
	posix_spawn_file_actions_addopen(
		&actions, STDOUT_FILENO, log.c_str(), O_WRONLY | O_CREAT | O_APPEND, mode);
	posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
	auto program = binary_.string();
	std::string command = "route";
	std::string option = "--settings";
	auto file = (directory_ / (name_ + ".json")).string();
	const std::array<char*, 5> arguments{program.data(), command.data(), option.data(), file.data(), nullptr};
	const auto error = ::posix_spawn(&pid_, program.c_str(), &actions, nullptr, arguments.data(), ::environ);
	posix_spawn_file_actions_destroy(&actions);
	if (error != 0)
	{
		pid_ = 0;
		throw std::system_error{error, std::generic_category(), "starting " + program};
	}
	asked_to_end_ = false;
	sent_.clear();
	begun_before_ = count_begun();
	++life_;
}

void vm_process::signal(int number)
{
	if (pid_ <= 0)
	{
		return;
	}
	asked_to_end_ = asked_to_end_ || number == SIGTERM || number == SIGKILL;
	sent_.insert(number);
	::kill(pid_, number);
}

std::optional<process_end> vm_process::poll()
{
	int status = 0;
	if (pid_ <= 0 || ::waitpid(pid_, &status, WNOHANG) != pid_)
	{
		return std::nullopt;
	}
	pid_ = 0;
	const auto how = WIFSIGNALED(status) ? "signal " + std::to_string(WTERMSIG(status))
										 : "exit code " + std::to_string(WEXITSTATUS(status));
	if (!WIFSIGNALED(status))
	{
		return process_end{asked_to_end_ && WEXITSTATUS(status) == 0, how};
	}
	// Before a process has set its handlers up, which it can't do before it runs, a signal's default action
	// ends it. It has taken no request then.
	const bool came_too_early = sent_.contains(WTERMSIG(status)) && count_begun() == begun_before_;
	return process_end{(asked_to_end_ && WTERMSIG(status) == SIGKILL) || came_too_early, how};
}

unsigned vm_process::count_begun() const
{
	std::ifstream log{log_file()};
	unsigned begun = 0;
	for (std::string line; std::getline(log, line);)
	{
		begun += line.find("\"what\":\"serving\"") != std::string::npos ? 1 : 0;
	}
	return begun;
}
} // namespace gingerdyke::soak
