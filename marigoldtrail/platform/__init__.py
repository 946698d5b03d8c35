"""Translation of the users' platform: names, formats and calls. Contains no policy."""
