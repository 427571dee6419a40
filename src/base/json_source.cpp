// SPDX-License-Identifier: MIT
// Parses JSON with nlohmann's SAX interface and records the line of every value.
#include <cstddef>
#include <fstream>
#include <gingerdyke/base/json_source.hpp>
#include <iterator>
#include <sstream>

namespace gingerdyke
{
namespace
{
constexpr std::size_t max_depth = 64;

/// Read position, shared by all copies of a `counting_iterator`.
struct read_position
{
	unsigned line = 1;
	bool after_newline = false;
};

/// Input iterator over characters that counts lines.
class counting_iterator
{
  public:
	using iterator_category = std::input_iterator_tag;
	using value_type = char;
	using difference_type = std::ptrdiff_t;
	using pointer = const char*;
	using reference = const char&;

	counting_iterator(const char* at, read_position* position) : at_(at), position_(position) {}

	reference operator*() const { return *at_; }

	counting_iterator& operator++()
	{
		position_->after_newline = *at_ == '\n';
		position_->line += position_->after_newline ? 1 : 0;
		++at_;
		return *this;
	}

	counting_iterator operator++(int)
	{
		auto before = *this;
		++*this;
		return before;
	}

	bool operator==(const counting_iterator& other) const { return at_ == other.at_; }
	bool operator!=(const counting_iterator& other) const { return at_ != other.at_; }

  private:
	const char* at_;
	read_position* position_;
};

/// SAX handler that builds the value and records the line of each JSON pointer.
class line_recorder final : public nlohmann::json_sax<json>
{
  public:
	line_recorder(const read_position& position, std::map<std::string, unsigned>& lines)
		: position_(position), lines_(lines)
	{
	}

	bool null() override { return add_value(nullptr); }
	bool boolean(bool value) override { return add_value(value); }
	bool number_integer(number_integer_t value) override { return add_value(value); }
	bool number_unsigned(number_unsigned_t value) override { return add_value(value); }
	bool number_float(number_float_t value, const string_t& /*text*/) override { return add_value(value); }
	bool string(string_t& value) override { return add_value(value); }
	bool binary(binary_t& /*value*/) override { return false; }

	bool start_object(std::size_t /*size*/) override { return open_container(json::object()); }
	bool start_array(std::size_t /*size*/) override { return open_container(json::array()); }
	bool end_object() override { return close_container(); }
	bool end_array() override { return close_container(); }

	bool key(string_t& name) override
	{
		auto& frame = stack_.back();
		const auto pointer = frame.pointer + "/" + escape_pointer_token(name);
		lines_[pointer] = line();
		if (frame.value.contains(name))
		{
			duplicate = pointer;
			return false;
		}
		frame.key = name;
		return true;
	}

	bool parse_error(
		std::size_t /*at*/, const std::string& /*token*/, const nlohmann::detail::exception& error) override
	{
		message = error.what();
		return false;
	}

	json root;
	std::string message;
	std::string duplicate;
	bool too_deep = false;

  private:
	struct frame
	{
		json value;
		std::string pointer;
		std::string key;
	};

	/// Line of the key or value that was parsed last. If the parser has just read a newline, that newline
	/// follows the value, and the current line is already the next one.
	[[nodiscard]] unsigned line() const
	{
		return position_.after_newline ? position_.line - 1 : position_.line;
	}

	[[nodiscard]] std::string next_pointer() const
	{
		if (stack_.empty())
		{
			return "";
		}
		const auto& top = stack_.back();
		const auto token =
			top.value.is_array() ? std::to_string(top.value.size()) : escape_pointer_token(top.key);
		return top.pointer + "/" + token;
	}

	bool add_value(json value)
	{
		lines_.try_emplace(next_pointer(), line());
		if (stack_.empty())
		{
			root = std::move(value);
			return true;
		}
		auto& top = stack_.back();
		if (top.value.is_array())
		{
			top.value.push_back(std::move(value));
		}
		else
		{
			top.value[top.key] = std::move(value);
		}
		return true;
	}

	bool open_container(json empty)
	{
		too_deep = stack_.size() >= max_depth;
		auto pointer = next_pointer();
		lines_.try_emplace(pointer, line());
		stack_.push_back({std::move(empty), std::move(pointer), {}});
		return !too_deep;
	}

	bool close_container()
	{
		auto completed = std::move(stack_.back().value);
		stack_.pop_back();
		return add_value(std::move(completed));
	}

	const read_position& position_;
	std::map<std::string, unsigned>& lines_;
	std::vector<frame> stack_;
};
} // namespace

checked<json_source> json_source::parse(std::string name, std::string_view text)
{
	json_source source;
	source.name_ = std::move(name);
	read_position position;
	line_recorder recorder{position, source.lines_};
	const counting_iterator begin{text.data(), &position};
	const counting_iterator end{text.data() + text.size(), &position};
	if (json::sax_parse(begin, end, &recorder))
	{
		source.value_ = std::move(recorder.root);
		return source;
	}
	source_location location{source.name_, recorder.duplicate, position.line};
	auto message = recorder.message.empty() ? std::string{"not valid JSON"} : recorder.message;
	if (!recorder.duplicate.empty())
	{
		message = "the key stands twice";
	}
	if (recorder.too_deep)
	{
		message = "nested deeper than " + std::to_string(max_depth) + " levels";
	}
	return tl::make_unexpected(findings{{std::move(location), std::move(message)}});
}

checked<json_source> json_source::load(const std::string& path)
{
	std::ifstream file{path, std::ios::binary};
	if (!file)
	{
		return tl::make_unexpected(findings{{{path, "", 0}, "can't be opened for reading"}});
	}
	std::ostringstream text;
	text << file.rdbuf();
	return parse(path, text.str());
}

json_source json_source::from_value(std::string name, json value)
{
	json_source source;
	source.name_ = std::move(name);
	source.value_ = std::move(value);
	return source;
}

source_location json_source::location_of(const std::string& pointer) const
{
	auto ancestor = pointer;
	while (true)
	{
		if (const auto line = lines_.find(ancestor); line != lines_.end())
		{
			return {name_, pointer, line->second};
		}
		const auto slash = ancestor.rfind('/');
		if (slash == std::string::npos)
		{
			return {name_, pointer, 0};
		}
		ancestor.resize(slash);
	}
}

std::string escape_pointer_token(std::string_view key)
{
	std::string token;
	for (const char c : key)
	{
		token += c == '~' ? "~0" : c == '/' ? "~1" : std::string(1, c);
	}
	return token;
}
} // namespace gingerdyke
