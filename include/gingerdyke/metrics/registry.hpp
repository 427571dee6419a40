// SPDX-License-Identifier: MIT
// Counters and histograms per workspace and class.
#pragma once

#include <gingerdyke/base/ids.hpp>
#include <gingerdyke/base/units.hpp>
#include <gingerdyke/metrics/histogram.hpp>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace gingerdyke::metrics
{
/// \brief What is measured of one request.
struct request_sample
{
	workspace_id workspace;
	class_id request_class;

	/// `ran`, `not-run` or `unknown`.
	std::string outcome;

	/// From arrival to the end of the answer.
	duration total{};

	/// From arrival to the first chunk, of a streamed answer.
	std::optional<duration> first_chunk;

	/// Gaps between chunks, of a streamed answer.
	std::vector<duration> gaps;
};

/// \brief All measurements of one process; safe to use from any thread.
class registry
{
  public:
	void note(const request_sample& sample);

	/// \brief The measurements in the Prometheus text format.
	[[nodiscard]] std::string text() const;

  private:
	using key = std::pair<workspace_id, class_id>;

	struct entry
	{
		std::map<std::string, std::uint64_t> outcomes;
		histogram total;
		histogram first_chunk;
		histogram between_chunks;
	};

	mutable std::mutex mutex_;
	std::map<key, entry> entries_;
};
} // namespace gingerdyke::metrics
