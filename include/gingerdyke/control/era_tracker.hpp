// SPDX-License-Identifier: MIT
// Compares the eras of answers about one table.
#pragma once

#include <gingerdyke/control/row_store.hpp>
#include <optional>

namespace gingerdyke::control
{
/// \brief Remembers the newest era that sources told. Older builds tell none.
class era_tracker
{
  public:
	/// \brief Whether an answer is of an era before the known one, so that its versions must not be compared.
	/// A source that tells no era may still hold the rows of before, once the era has changed.
	[[nodiscard]] bool is_earlier(const std::optional<registry_era>& told) const noexcept
	{
		return told ? known_ && *told < *known_ : has_changed_;
	}

	/// \brief Whether an answer is of another era than the versions known so far, or may be: the first one
	/// told after answers without.
	[[nodiscard]] bool is_later(const std::optional<registry_era>& told) const noexcept
	{
		return told && (!known_ || *told > *known_);
	}

	/// \brief Records the era of an accepted answer.
	void record(const std::optional<registry_era>& told) noexcept
	{
		if (is_later(told))
		{
			has_changed_ = has_changed_ || known_.has_value();
			known_ = told;
		}
	}

	/// \brief The newest era; none if no source told it.
	[[nodiscard]] const std::optional<registry_era>& known() const noexcept { return known_; }

  private:
	std::optional<registry_era> known_;

	/// Whether a later era has followed another one.
	bool has_changed_ = false;
};
} // namespace gingerdyke::control
