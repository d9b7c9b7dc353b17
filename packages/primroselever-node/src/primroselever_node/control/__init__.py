"""Control: keeps profiles and members up to date and reports their age."""
