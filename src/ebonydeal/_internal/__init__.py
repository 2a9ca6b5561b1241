"""Private parts of ebonydeal; nothing below here is a public interface."""
